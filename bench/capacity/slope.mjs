/** Least-squares fits and measurements of processor time and heap. */

/** Fits a line to points [x, y]; `fit` is the coefficient of determination. */
export function lineThrough(points) {
  const mean = index =>
    points.reduce((sum, point) => sum + point[index], 0) / points.length;
  const [meanX, meanY] = [mean(0), mean(1)];
  const sum = term => points.reduce((total, point) => total + term(point), 0);
  const squaredDeviations = sum(([x]) => (x - meanX) ** 2);
  const slope = sum(([x, y]) => (x - meanX) * (y - meanY)) / squaredDeviations;
  const intercept = meanY - slope * meanX;
  const total = sum(([, y]) => (y - meanY) ** 2);
  const residual = sum(([x, y]) => (y - intercept - slope * x) ** 2);
  return {slope, intercept, fit: total === 0 ? 1 : 1 - residual / total};
}

/** Mean processor time of one call over `rounds` sequential calls. */
export async function processorMicroseconds(rounds, call) {
  const start = process.cpuUsage();
  for (let index = 0; index < rounds; index += 1) await call(index);
  const {user, system} = process.cpuUsage(start);
  return (user + system) / rounds;
}

/** Bytes of heap and buffers in use after a full garbage collection. */
export function heapBytes() {
  if (globalThis.gc === undefined) throw new RangeError('run with --expose-gc');
  globalThis.gc();
  globalThis.gc();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
