/** Measures the scenarios that it is sent, one after the other. */

import {parentPort} from 'node:worker_threads';
import {measure} from './run.mjs';

parentPort.on('message', async ({index, scenario}) => {
  parentPort.postMessage({index, figures: await measure(scenario)});
});
