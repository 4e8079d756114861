/** Stand-in servers in a thread of their own, so that they don't delay the callers. */

import {parentPort, workerData} from 'node:worker_threads';
import {
  SampleSite,
  sampleConfiguration,
  sampleRoute,
} from '../../platform/dist/src/standins/sample-site.js';

const {fault, faultyServers, soundServers, timeoutMilliseconds, other} =
  workerData;

/** The faulty servers come first. */
function serversOf(prefix, service, stage) {
  const count = faultyServers + soundServers;
  return Array.from({length: count}, (_, index) => ({
    id: `${prefix}-${index + 1}`,
    service,
    zone: 'zone-a',
    slots: 100,
    ...(stage !== undefined && {stage}),
  }));
}

const servers = [
  ...serversOf('s', 'desk'),
  ...serversOf('d', 'engines', 'decode'),
];
const site = new SampleSite();
await site.start(servers);
site.store.put(`servers/${other.id}`, other.entry);
const configuration = sampleConfiguration(2);
site.store.put('op/config', {
  ...configuration,
  routes: [
    ...configuration.routes.map(route => ({
      ...route,
      timeout_ms: timeoutMilliseconds,
    })),
    sampleRoute('other', {kind: 'idempotent', service: 'other'}),
  ],
  services: [
    ...configuration.services.map(service =>
      service.engine === undefined
        ? service
        : {...service, engine: {...service.engine, slots: 100}},
    ),
    {name: 'other', health_path: '/health', max_conns: 90},
  ],
});
for (let index = 1; index <= faultyServers; index += 1)
  for (const prefix of ['s', 'd'])
    site.findServer(`${prefix}-${index}`).fault = fault;

const isFaulty = ({options}) =>
  Number(options.id.split('-')[1]) <= faultyServers;
const endlessBytes = () =>
  site.servers.reduce((sum, server) => sum + server.endlessBytes, 0);

parentPort.on('message', async kind => {
  switch (kind) {
    case 'report': {
      const executedBy = sound =>
        site.servers
          .filter(each => isFaulty(each) !== sound)
          .reduce((sum, {executed}) => sum + executed.length, 0);
      parentPort.postMessage({
        endlessBytes: endlessBytes(),
        faulty: executedBy(false),
        sound: executedBy(true),
      });
      break;
    }
    case 'close':
      await site.close();
      process.exit(0);
  }
});
parentPort.postMessage(site.store.address);
