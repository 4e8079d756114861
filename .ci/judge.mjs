/**
 * Reads the TAP output of the tests. Passes when only tests failed that
 * KNOWN-RED.txt lists as "- test `TITLE`", and prints those that did.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';

const [tapFile, knownFile, status] = process.argv.slice(2);
const lines = readFileSync(tapFile, 'utf8').split('\n');
const known = [
  ...readFileSync(knownFile, 'utf8').matchAll(/^- test `([^`]+)`/gm),
].map(([, title]) => title);

const results = lines.filter(line => /^(not )?ok \d+/.test(line));
const failed = results.filter(line => line.startsWith('not ok'));
const isKnown = line => known.some(title => line.endsWith(title));
const fresh = failed.filter(line => !isKnown(line));
for (const line of failed)
  console.log(`${isKnown(line) ? 'known red' : 'FAILED'}: ${line}`);
console.log(
  `${results.length - failed.length} passed, ${failed.length} failed`,
);
// A run that ended badly without a failed test has crashed.
const hasCrashed = status !== '0' && failed.length === 0;
if (hasCrashed) console.log('the test run ended badly without a failed test');
process.exitCode =
  fresh.length > 0 || hasCrashed || results.length === 0 ? 1 : 0;
