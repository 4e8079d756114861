/** Reads processor time and memory of a daemon over the inspector protocol. */
import {WebSocket} from 'undici';

const pollIntervalMilliseconds = 20;

export class Inspector {
  #socket;
  #pending = new Map();
  #sequence = 0;

  /** Attaches to a daemon started with `--inspect`. */
  static async attach(daemon) {
    let urlMatch;
    while ((urlMatch = /ws:\/\/\S+/.exec(daemon.output)) === null)
      await new Promise(done => setTimeout(done, pollIntervalMilliseconds));
    const inspector = new Inspector();
    await inspector.#open(urlMatch[0]);
    return inspector;
  }

  async #open(address) {
    this.#socket = new WebSocket(address);
    this.#socket.addEventListener('message', ({data}) => {
      const {id, result} = JSON.parse(data);
      this.#pending.get(id)?.(result);
      this.#pending.delete(id);
    });
    await new Promise((done, failed) => {
      this.#socket.addEventListener('open', done);
      this.#socket.addEventListener('error', failed);
    });
  }

  send(method, params = {}) {
    this.#sequence += 1;
    const id = this.#sequence;
    return new Promise(done => {
      this.#pending.set(id, done);
      this.#socket.send(JSON.stringify({id, method, params}));
    });
  }

  async #evaluate(expression) {
    const {result} = await this.send('Runtime.evaluate', {
      expression,
      returnByValue: true,
    });
    return result.value;
  }

  /** Processor time of all threads of the daemon since its start. */
  async processorMilliseconds() {
    const {user, system} = await this.#evaluate('process.cpuUsage()');
    return (user + system) / 1000;
  }

  /** Bytes of live objects and buffers after a full garbage collection. */
  async liveBytes() {
    await this.send('HeapProfiler.collectGarbage');
    const usage = await this.#evaluate('process.memoryUsage()');
    return usage.heapUsed + usage.external;
  }

  close() {
    this.#socket.close();
  }
}
