/**
 * Evaluates the TAP output of the tests. Fails if a failed test is not listed in
 * KNOWN-RED.txt as "- test `TITLE`", if the run crashed or if it has no results.
 * Prints all failed tests. A listed title matches the end of a TAP line.
 * Arguments: TAP file, list of known failures, exit status of the test run.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';

const [tapFile, knownFile, status] = process.argv.slice(2);
const lines = readFileSync(tapFile, 'utf8').split('\n');
const knownTitles = [
  ...readFileSync(knownFile, 'utf8').matchAll(/^- test `([^`]+)`/gm),
].map(([, title]) => title);

const results = lines.filter(line => /^(not )?ok \d+/.test(line));
const failed = results.filter(line => line.startsWith('not ok'));
const isKnownFailure = line => knownTitles.some(title => line.endsWith(title));
const newFailures = failed.filter(line => !isKnownFailure(line));
for (const line of failed)
  console.log(`${isKnownFailure(line) ? 'known failure' : 'FAILED'}: ${line}`);
console.log(
  `${results.length - failed.length} passed, ${failed.length} failed`,
);
// A failure status without a failed test means that the test run crashed.
const hasCrashed = status !== '0' && failed.length === 0;
if (hasCrashed)
  console.log('the test run crashed: failure status without a failed test');
process.exitCode =
  newFailures.length > 0 || hasCrashed || results.length === 0 ? 1 : 0;
