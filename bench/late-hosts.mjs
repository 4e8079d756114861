/**
 * Calls hosts that are real processes and get too little processor time, and compares
 * what callers saw with what servers received.
 *
 *     node bench/late-hosts.mjs share=0.2 seed=1 seconds=10 rate=150 hosts=3
 *
 * `share` is the part of each `period` (milliseconds, 100) in which the first `late`
 * hosts run; the default is all hosts. The others get all of a processor. Callers use a
 * connection for each request, wait 3 s, and three in ten leave after 60 to 540 ms; the
 * timeout of the routes is 400 ms. One request in ten occupies its server until the
 * deadline that the host gives it. Prints how many requests were held for over half a
 * second beyond the timeout, and how many reached a server over half a second after
 * their caller had left. `warm` (0) is the number of requests to each host before its
 * processor time is taken away. Other arguments: `program` (path of the bundle) and `folder`
 * (for the output of the hosts).
 */

import {fileURLToPath} from 'node:url';
import {LateHostsRun} from '../platform/dist/src/standins/late-hosts/index.js';

const values = Object.fromEntries(
  process.argv.slice(2).map(argument => argument.split('=')),
);
const number = (name, fallback) => Number(values[name] ?? fallback);
const hosts = number('hosts', 3);

const verdict = await new LateHostsRun({
  seed: number('seed', 1),
  seconds: number('seconds', 10),
  hosts,
  lateHosts: number('late', hosts),
  share: number('share', 0.2),
  periodMilliseconds: number('period', 100),
  requestsPerSecond: number('rate', 150),
  warmUpRequests: number('warm', 0),
  program:
    values.program ??
    fileURLToPath(new URL('../target/persimmonwick.mjs', import.meta.url)),
  folder: values.folder,
}).run();
console.log(JSON.stringify(verdict));
process.exitCode = verdict.heldOn + verdict.sentOn > 0 ? 1 : 0;
