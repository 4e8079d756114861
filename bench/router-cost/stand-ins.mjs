/** Runs the stand-ins of the router cost bench in a separate process. */
import {SampleFleet} from '../../packages/standins/dist/src/index.js';

const {options, members} = JSON.parse(process.argv[2]);
const fleet = new SampleFleet(options, members);
await fleet.start();
process.on('disconnect', () => process.exit());
process.send({
  platform: fleet.platform.address,
  prefill: fleet.prefillEngines.map(engine => engine.address),
  decode: fleet.decodeEngines.map(engine => engine.address),
});
