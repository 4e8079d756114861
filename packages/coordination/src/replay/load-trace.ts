/** Parses and validates trace files, with a line number for each fault. */

import {Result} from 'true-myth';
import {LineCounter, isNode, parseDocument} from 'yaml';
import type {Document} from 'yaml';
import {validateTrace} from '../generated/trace-validators.js';
import type {Trace} from '../generated/trace.js';
import type {SchemaError} from '../schema-validator.js';

/** A fault found in a trace file. */
export interface TraceFileFault {
  readonly line: number;
  /** JSON pointer to the field, for example `/arrivals/0/host`. */
  readonly path: string;
  readonly reason: string;
}

/** Parses and validates the text of a trace file. */
export function loadTrace(text: string): Result<Trace, TraceFileFault[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  if (document.errors.length > 0)
    return Result.err(
      document.errors.map(error => ({
        line: error.linePos?.[0].line ?? 1,
        path: '/',
        reason: error.message.split('\n')[0]!,
      })),
    );
  const lineOf = (path: string) => findLine(document, lines, path);
  const value: unknown = document.toJS();
  if (!validateTrace(value))
    return Result.err(
      mostSpecificErrors(validateTrace.errors ?? []).map(error => ({
        line: lineOf(error.instancePath),
        path: error.instancePath || '/',
        reason: `${error.message ?? error.keyword} ${JSON.stringify(error.params)}`,
      })),
    );
  const trace = value as unknown as Trace;
  const faults = findUnknownReferences(trace).map(({path, reason}) => ({
    line: lineOf(path),
    path,
    reason,
  }));
  return faults.length > 0 ? Result.err(faults) : Result.ok(trace);
}

/**
 * Keeps the errors with the longest paths. They explain a mismatch better than
 * the errors of schema alternatives on shorter paths.
 */
function mostSpecificErrors(errors: readonly SchemaError[]): SchemaError[] {
  const depth = (error: SchemaError) => error.instancePath.split('/').length;
  const deepest = Math.max(...errors.map(depth));
  return errors.filter(error => depth(error) === deepest);
}

function findLine(document: Document, lines: LineCounter, path: string) {
  const keys = path.split('/').slice(1);
  for (let length = keys.length; length >= 0; length -= 1) {
    const node: unknown =
      length === 0
        ? document.contents
        : document.getIn(keys.slice(0, length).map(toKey), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
}

function toKey(key: string): string | number {
  return /^\d+$/.test(key) ? Number(key) : key;
}

function findUnknownReferences(trace: Trace) {
  const hosts = new Set(trace.fleet.hosts.map(({host}) => host));
  const requests = new Set(trace.arrivals.map(({request}) => request));
  const faults: Array<{path: string; reason: string}> = [];
  trace.arrivals.forEach(({host}, index) => {
    if (!hosts.has(host))
      faults.push({
        path: `/arrivals/${index}/host`,
        reason: `no host named ${host} in the fleet`,
      });
  });
  trace.outcomes.forEach(({request}, index) => {
    if (!requests.has(request))
      faults.push({
        path: `/outcomes/${index}/request`,
        reason: `no arrival named ${request}`,
      });
  });
  return faults;
}
