/**
 * A model server garbles its answer to a reservation. The host that reads it ends,
 * with all requests that it had passed on.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request as httpRequest} from 'node:http';
import {
  SimulatedServer,
  configuration,
  memberKey,
  promptHeaders,
} from '../servers.mjs';
import {hasTrouble, newId, now, record, runCase, send} from '../site.mjs';

/** At most this part of the answers of one server is garbled. */
const garbledShare = 0.02;
const clientCount = 24;
/** Of the rule: answers that may be missing. */
const lostAllowed = 3;

/** Sends one request over a kept channel. */
function sendKept(address, agent) {
  const [host, port] = address.split(':');
  const answer = {id: newId(), sentAt: now()};
  return new Promise(resolve => {
    const settle = fields => {
      Object.assign(answer, fields, {endedAt: now()});
      if (answer.status !== 200) record('client-sees', answer);
      resolve(answer);
    };
    const request = httpRequest({
      host,
      port,
      agent,
      method: 'POST',
      path: '/release/2f',
      headers: {
        Host: 'calls.example',
        'Persimmonwick-Request-Id': answer.id,
        'Persimmonwick-Deadline-Ms': '3000',
        'Content-Length': 4,
        ...memberKey,
      },
    });
    answer.isKept = request.reusedSocket;
    request.once('socket', () => (answer.isKept = request.reusedSocket));
    request.once('response', response => {
      response.resume();
      response.once('close', () =>
        settle({status: response.statusCode, isComplete: response.complete}),
      );
    });
    request.once('error', error =>
      settle({error: error.code, isComplete: false}),
    );
    request.end('kit1');
  });
}

await runCase(new URL('.', import.meta.url), async site => {
  const add = options => site.addServer(new SimulatedServer(options));
  const service = 'drawing-llm';
  await add({id: 'i-prefill-1', service, stage: 'prefill'});
  const engine = await add({id: 'i-decode-1', service, stage: 'decode'});
  await add({id: 'i-decode-2', service, stage: 'decode'});
  for (let index = 1; index <= 4; index += 1)
    await add({id: `i-desk-${index}`, service: 'line-desk', workMs: 250});
  site.store.put('op/config', configuration(7));
  await site.startHosts(1);
  const [host] = site.hosts;
  await sleep(4000);

  let holds = 0;
  let garbled = 0;
  engine.garbleHold = () => {
    holds += 1;
    if (!hasTrouble || garbled + 1 > holds * garbledShare) return undefined;
    garbled += 1;
    record('garbled', {server: engine.id, holds});
    // The second half of the id is broken off within a pair of escapes.
    return '{"hold":"a\\ud83d","born":1}';
  };
  const answers = [];
  let isOver = false;
  const client = async () => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    while (!isOver) {
      const answer = await sendKept(host.front, agent);
      answers.push(answer);
      if (!answer.isComplete) break;
      await sleep(50);
    }
    agent.destroy();
  };
  const clients = Array.from({length: clientCount}, client);
  const streams = [];
  for (let index = 0; index < 160 && host.child.exitCode === null; index += 1) {
    streams.push(
      send(host.front, {
        method: 'POST',
        path: '/crimp/2f',
        headers: promptHeaders(300),
        body: 'a drawing',
      }),
    );
    await sleep(70);
  }
  isOver = true;
  await Promise.all([...clients, ...streams]);
  const {exitCode} = host.child;
  if (exitCode !== null) {
    const reason = /^.*Error: .*$/m.exec(host.output)?.[0];
    record('ended-by-itself', {exitCode, reason});
  }
  const passedOn = new Set(
    site.servers.flatMap(server => server.arrivals.map(({id}) => id)),
  );
  const lost = answers.filter(
    ({id, isComplete, isKept}) => !isComplete && isKept && passedOn.has(id),
  );
  return lost.length > lostAllowed
    ? lost.map(answer => ({rule: 'LOST', exitCode, ...answer}))
    : [];
});
