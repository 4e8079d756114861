/** Fakes of the platform, the engines and the services, and test clients. */

export {FakeEngine} from './fake-engine.js';
export type {
  FakeEngineFaults,
  FakeEngineOptions,
} from './fake-engine-options.js';
export {FakePlatform} from './fake-platform.js';
export {FakeService} from './fake-service.js';
export {SampleFleet, sampleKeys, sampleModel} from './sample-fleet.js';
export {Caller} from './caller.js';
export {
  CallerCrowd,
  chunkOf,
  chunksOf,
  framingHeader,
  usageOf,
} from './caller-crowd.js';
export type {BodyFraming, ProcessUsage, WrittenParts} from './caller-crowd.js';
export type {CallOptions, CallerResult, StreamOptions} from './caller.js';
export {exhaustingBodies} from './exhausting-bodies.js';
export type {ExhaustingBody} from './exhausting-bodies.js';
export {DaemonGroup} from './daemon-group.js';
export type {DaemonGroupOptions} from './daemon-group.js';
export {DaemonProcess} from './daemon-process.js';
export type {DaemonOptions} from './daemon-process.js';
export {findFreeAddresses} from './free-ports.js';
export {RunRecorder} from './run-recorder.js';
export {TcpProxy} from './tcp-proxy.js';
export type {ProxyFault} from './tcp-proxy.js';
