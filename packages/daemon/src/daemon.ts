/** One daemon: its parts, in the order in which they start and close. */

import {randomInt} from 'node:crypto';
import {
  CompletionRunner,
  hostId,
  incarnation,
  seededRandom,
  systemClock,
} from '@persimmonwick/coordination';
import type {CompleteSettings} from '@persimmonwick/coordination';
import {v4 as makeUuid, v7 as makeOrderedUuid} from 'uuid';
import {startCallerServer} from './callers/caller-server.js';
import {ServiceForwarder} from './callers/service-forwarder.js';
import type {EventLog} from './log/logger.js';
import {ConfigurationWatcher} from './platform/configuration-watcher.js';
import {createPlatformClient} from './platform/platform-client.js';
import {HttpEngineDirectory} from './upstreams/http-engine.js';

/** A daemon that runs. */
export interface Daemon {
  readonly addresses: {readonly callers: string};
  /** Resolves when a first configuration is in force. */
  readonly ready: Promise<void>;
  close(): Promise<void>;
}

/** Starts a daemon; resolves when it listens. */
export async function startDaemon(
  settings: CompleteSettings,
  log: EventLog,
): Promise<Daemon> {
  const clock = systemClock;
  const random = seededRandom(randomInt(2 ** 31));
  const owner = {
    host: hostId(settings.host),
    incarnation: incarnation(makeOrderedUuid()),
  };
  const watcher = new ConfigurationWatcher(
    createPlatformClient(settings.platform.addresses[0]),
    clock,
    log,
    settings.platform.watchTimeoutMilliseconds,
  );
  watcher.start();
  const configuration = () => watcher.current;
  const engines = new HttpEngineDirectory(settings.upstreamSilenceMilliseconds);
  const {requestMilliseconds} = settings.limits;
  const services = new ServiceForwarder(random, requestMilliseconds);
  const runner = new CompletionRunner({
    clock,
    random,
    owner,
    engines,
    configuration,
    makeAttemptId: () => makeUuid(),
  });
  const callers = await startCallerServer(
    {clock, log, configuration, runner, services, requestMilliseconds},
    settings,
  );
  log.write('daemonStarted', {
    host: owner.host,
    incarnation: owner.incarnation,
    callers: callers.address,
    operators: settings.listen.operators,
    peers: settings.listen.peers,
  });
  return {
    addresses: {callers: callers.address},
    ready: watcher.ready,
    async close() {
      await callers.close();
      await runner.close();
      await watcher.close();
      await services.close();
      await engines.close();
    },
  };
}
