/** Small fakes of what the product meets: platform, engines, services. */

export {FakeEngine} from './fake-engine.js';
export type {FakeEngineOptions, FakeEngineFaults} from './fake-engine.js';
export {FakePlatform} from './fake-platform.js';
export {FakeService} from './fake-service.js';
export {SampleFleet, sampleKeys, sampleModel} from './sample-fleet.js';
