/**
 * Fields of a chat completion request that change what an answer means and that
 * engines are not asked for. A request that needs one is refused, since an
 * answer without it would look right and be wrong. Hints such as `temperature`
 * are ignored.
 */

/** True for values that ask for nothing. */
type AsksForNothing = (value: unknown) => boolean;

const isEmpty: AsksForNothing = value =>
  Array.isArray(value) && value.length === 0;

const isOffOrNone: AsksForNothing = value =>
  value === false || value === 'none';

const unservedFields: ReadonlyMap<string, AsksForNothing> = new Map([
  ['n', value => value === 1],
  ['stop', isEmpty],
  ['tools', isEmpty],
  ['tool_choice', isOffOrNone],
  ['functions', isEmpty],
  ['function_call', isOffOrNone],
  ['response_format', value => typeOf(value) === 'text'],
  ['logprobs', isOffOrNone],
  ['top_logprobs', value => value === 0],
  ['logit_bias', value => isTable(value) && Object.keys(value).length === 0],
  ['modalities', value => JSON.stringify(value) === '["text"]'],
  ['audio', () => false],
  ['prediction', () => false],
]);

/** The name of the first field of `request` that is not served. */
export function findUnservedField(
  request: Readonly<Record<string, unknown>>,
): string | undefined {
  for (const [name, asksForNothing] of unservedFields) {
    const value = request[name] ?? undefined;
    if (value !== undefined && !asksForNothing(value)) return name;
  }
  return undefined;
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function typeOf(value: unknown): unknown {
  return isTable(value) ? value['type'] : undefined;
}
