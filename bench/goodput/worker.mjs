/** Worker thread that measures the scenarios it receives. */

import {parentPort} from 'node:worker_threads';
import {measure} from './run.mjs';

parentPort.on('message', async ({index, scenario}) => {
  parentPort.postMessage({index, figures: await measure(scenario)});
});
