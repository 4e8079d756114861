/**
 * Decode servers are emptied one after the other. While a prefill server leaves some
 * requests without an answer, runs reach a server later than `drain_ms` after the
 * store acknowledged that it is draining.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {SimulatedServer, configuration, promptHeaders} from '../servers.mjs';
import {hasTrouble, now, record, runCase, send} from '../site.mjs';

const drainMilliseconds = 2000;
/** The little longer for which a server serves on after that, before it ends. */
const lingerMilliseconds = 500;
const drainCount = 10;
const requestsPerSecond = 9;
/** Requests that come close together, some time after each drain. */
const clumpSize = 12;
const clumpAfter = 560;
const clumpSpacing = 20;
const promptTokens = 3000;
/** In any window, the grey server leaves at most this part of requests unanswered. */
const greyShare = 0.45;
const greyWindow = 6500;
/** Time after the ack of a drain in which it does so. */
const greyFrom = 400;
const greyUntil = 850;

await runCase(new URL('.', import.meta.url), async site => {
  const service = 'drawing-llm';
  const add = (id, stage) =>
    site.addServer(new SimulatedServer({id, service, stage, eventCount: 20}));
  const grey = await add('i-prefill-1', 'prefill');
  await add('i-prefill-2', 'prefill');
  await add('i-prefill-3', 'prefill');
  await add('i-prefill-4', 'prefill');
  const decodes = [];
  for (let index = 1; index <= 4; index += 1)
    decodes.push(await add(`i-decode-${index}`, 'decode'));
  site.store.put('op/config', configuration(7));
  await site.startHosts(1);
  const [host] = site.hosts;
  // A host that has just started has no retries yet.
  await sleep(13_000);

  let drainAt = -Infinity;
  let leaving;
  /** The server that granted the last reservation, and when. */
  let lastHold = {id: '', at: -Infinity};
  const watchHolds = server => {
    server.garbleHold = () => {
      lastHold = {id: server.id, at: now()};
    };
  };
  decodes.forEach(watchHolds);
  let arrivals = [];
  let hangs = [];
  grey.intercept = async ({id, at, isPrefill}) => {
    const isRecent = time => time > at - greyWindow;
    arrivals = [...arrivals.filter(isRecent), at];
    hangs = hangs.filter(isRecent);
    const age = at - drainAt;
    const fails =
      hasTrouble &&
      isPrefill &&
      age >= greyFrom &&
      age < greyUntil &&
      // The prompt of a call that is to run at the leaving server.
      lastHold.id === leaving.id &&
      at - lastHold.at < 15 &&
      hangs.length + 1 <= arrivals.length * greyShare;
    if (!fails) return false;
    hangs.push(at);
    record('hangs', {
      server: grey.id,
      id,
      hung: hangs.length,
      of: arrivals.length,
    });
    return true;
  };
  let isOver = false;
  const pending = [];
  const sendOne = () =>
    pending.push(
      send(host.front, {
        method: 'POST',
        path: '/crimp/2f',
        headers: promptHeaders(promptTokens),
        body: 'a drawing',
      }),
    );
  const traffic = (async () => {
    while (!isOver) {
      sendOne();
      await sleep(1000 / requestsPerSecond);
    }
  })();
  const nextListRead = () =>
    new Promise(resolve => {
      site.store.onRead = url => {
        if (url.searchParams.get('path_prefix') !== 'servers/') return;
        site.store.onRead = () => undefined;
        resolve();
      };
    });
  await sleep(2000);
  const drains = [];
  for (let index = 0; index < drainCount; index += 1) {
    leaving = decodes.shift();
    await nextListRead();
    leaving.state = 'draining';
    drainAt = leaving.report(site.store);
    drains.push({server: leaving, acknowledgedAt: drainAt});
    // Another server takes its place.
    const next = await add(`i-decode-${index + 5}`, 'decode');
    watchHolds(next);
    decodes.push(next);
    record('drain-acknowledged', {server: leaving.id});
    await sleep(clumpAfter);
    for (let sent = 0; sent < clumpSize; sent += 1) {
      sendOne();
      await sleep(clumpSpacing);
    }
    await sleep(drainAt + drainMilliseconds + lingerMilliseconds - now());
    site.store.remove(`servers/${leaving.id}`);
    leaving.close();
    record('server-ended', {server: leaving.id, at: now()});
    await sleep(2000);
  }
  isOver = true;
  await traffic;
  const answers = new Map(
    (await Promise.all(pending)).map(answer => [answer.id, answer]),
  );
  return drains.flatMap(({server, acknowledgedAt}) =>
    server.arrivals
      .filter(({at}) => at > acknowledgedAt + drainMilliseconds)
      .map(({id, at}) => ({
        rule: 'DRAIN',
        server: server.id,
        id,
        afterAck: Math.round(at - acknowledgedAt),
        isAnswerComplete: answers.get(id)?.complete,
      })),
  );
});
