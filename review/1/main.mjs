/**
 * A host gets SIGTERM while streams run on kept channels. The next request of each
 * of these channels is passed on to a server and gets no answer.
 */

import {Agent, request as httpRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {DelayedLink} from '../delay.mjs';
import {
  SimulatedServer,
  configuration,
  memberKey,
  promptHeaders,
} from '../servers.mjs';
import {hasTrouble, newId, now, record, runCase} from '../site.mjs';

const clientCount = 8;
const graceMilliseconds = 8000;

/** Sends one request over the channel of `agent`. */
function sendOver(address, agent, {path, headers}) {
  const [host, port] = address.split(':');
  const answer = {id: newId(), path};
  const request = httpRequest({
    host,
    port,
    agent,
    method: 'POST',
    path,
    headers: {
      Host: 'calls.example',
      'Persimmonwick-Request-Id': answer.id,
      'Content-Length': 8,
      ...headers,
    },
  });
  return new Promise(resolve => {
    const settle = fields => {
      Object.assign(answer, fields, {endedAt: now()});
      record('client-sees', answer);
      resolve(answer);
    };
    // The agent has the channel for this request, and writes it now.
    request.once('socket', () => {
      answer.sentAt = now();
      record('client-sends', {id: answer.id, path});
    });
    request.once('response', response => {
      const status = response.statusCode;
      const {connection} = response.headers;
      response.resume();
      response.once('close', () =>
        settle({status, connection, isComplete: response.complete}),
      );
    });
    request.once('error', error =>
      settle({error: error.code, isComplete: false}),
    );
    request.end('a drawing'.slice(0, 8));
  });
}

await runCase(new URL('.', import.meta.url), async site => {
  const add = options => site.addServer(new SimulatedServer(options));
  const service = 'drawing-llm';
  await add({id: 'i-prefill-1', service, stage: 'prefill'});
  await add({id: 'i-decode-1', service, stage: 'decode'});
  await add({id: 'i-decode-2', service, stage: 'decode'});
  await add({id: 'i-desk-1', service: 'line-desk'});
  await add({id: 'i-desk-2', service: 'line-desk'});
  site.store.put('op/config', configuration(7));
  await site.startHosts(2);
  const [host] = site.hosts;
  const link = new DelayedLink(host.front);
  await link.start();
  await sleep(4000);

  const answers = [];
  let isOver = false;
  const client = async () => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    while (!isOver) {
      // Both wait for the one channel, which the stream takes first.
      const both = await Promise.all([
        sendOver(link.address, agent, {
          path: '/crimp/2f',
          headers: promptHeaders(1000),
        }),
        sendOver(link.address, agent, {
          path: '/release/2f',
          headers: {...memberKey, 'Persimmonwick-Deadline-Ms': '3000'},
        }),
      ]);
      answers.push(...both);
      // The platform sends new channels to the other host.
      if (both.some(each => !each.isComplete || each.connection === 'close'))
        break;
      await sleep(20);
    }
    agent.destroy();
  };
  const clients = Array.from({length: clientCount}, client);
  await sleep(3000);
  const termAt = now();
  if (hasTrouble) host.signal('SIGTERM');
  await sleep(2000);
  isOver = true;
  await Promise.all(clients);
  await sleep(500);
  link.close();

  // Each server that got one of these requests was at work on it, or had ended it.
  const passedOn = new Map(
    site.servers.flatMap(server =>
      server.arrivals
        .filter(({isPrefill}) => !isPrefill)
        .map(({id, at, isDone}) => [
          id,
          {server: server.id, at, hasRun: isDone === true},
        ]),
    ),
  );
  return answers
    .filter(
      ({id, isComplete, sentAt}) =>
        !isComplete &&
        passedOn.has(id) &&
        sentAt >= termAt &&
        sentAt <= termAt + graceMilliseconds,
    )
    .map(answer => ({rule: 'LOST', ...answer, ...passedOn.get(answer.id)}));
});
