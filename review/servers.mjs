/** Simulated servers: model servers of both stages, and plain services. */

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {now, record} from './site.mjs';

/** Tokens of a prompt that a model server reads in a millisecond. */
const tokensReadPerMillisecond = 33.3;

let handleCount = 0;
const newHandle = prefix =>
  `${prefix}${(handleCount += 1).toString(16).padStart(8, '0')}`;

export class SimulatedServer {
  state = 'ready';
  seq = 0;
  /** What reached this server: the requests that clients sent. */
  arrivals = [];
  holds = new Set();
  handles = new Set();
  /** Time at which the prompts in the queue are read. */
  readUntil = 0;
  born = Date.now();
  /** Called before a request is handled; resolves with true to take it over. */
  intercept = () => false;
  /** Returns the body of an answer to a reservation that is garbled. */
  garbleHold = () => undefined;

  constructor(options) {
    Object.assign(this, {zone: 'zone-a', eventCount: 10, eventMs: 30}, options);
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(error =>
        record('server-error', {server: this.id, reason: String(error)}),
      );
    });
    this.server.keepAliveTimeout = 30_000;
  }

  async start() {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  /** The entry that the server writes into the store. */
  entry() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_left_ms: 0,
      ...(this.stage === undefined
        ? {}
        : {
            stage: this.stage,
            models: [{name: 'm', version: 1, adapters: []}],
          }),
      born: this.born,
      seq: (this.seq += 1),
    };
  }

  /** Reports to the store; returns the time of the ack. */
  report(store) {
    return store.put(`servers/${this.id}`, this.entry());
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const {url, headers} = request;
    const json = (status, value, more = {}) => {
      response.writeHead(status, {
        'Content-Type': 'application/json',
        ...more,
      });
      response.end(JSON.stringify(value));
    };
    if (url === '/health')
      return json(
        this.state === 'ready' ? 200 : 503,
        {},
        {'Persimmonwick-Instance-Id': this.id},
      );
    if (url === '/-/hold-take') {
      const hold = newHandle('a');
      this.holds.add(hold);
      record('hold-taken', {server: this.id, hold});
      const garbled = this.garbleHold();
      if (garbled === undefined) return json(200, {hold, born: this.born});
      response.writeHead(200, {'Content-Type': 'application/json'});
      return response.end(garbled);
    }
    if (url.startsWith('/-/hold-drop/')) {
      this.holds.delete(url.slice(url.lastIndexOf('/') + 1));
      return json(200, {});
    }
    if (url.startsWith('/-/kv-handle/')) {
      const isKnown = this.handles.delete(url.slice(url.lastIndexOf('/') + 1));
      return json(isKnown ? 200 : 404, {});
    }
    const expected = headers['persimmonwick-expect-instance'];
    if (expected !== undefined && expected !== this.id)
      return json(421, {}, {'Persimmonwick-Instance-Id': this.id});
    const id = headers['persimmonwick-request-id'];
    const isPrefill = headers['persimmonwick-stage'] === 'prefill';
    const arrival = {
      id,
      at: now(),
      isPrefill,
      method: request.method,
      url,
      headers,
      body,
    };
    this.arrivals.push(arrival);
    record('arrived', {
      server: this.id,
      id,
      stage: isPrefill ? 'prefill' : 'run',
    });
    response.setHeader('Persimmonwick-Request-Id', id);
    if (await this.intercept(arrival, request, response)) return undefined;
    if (isPrefill) return this.prefill(headers, json);
    if (this.stage === 'decode') return this.stream(arrival, response);
    return this.answer(arrival, response);
  }

  /** Prompts are read one after the other. */
  async prefill(headers, json) {
    const tokens = Number(headers['persimmonwick-token-count'].split(',')[0]);
    const start = Math.max(now(), this.readUntil);
    this.readUntil = start + tokens / tokensReadPerMillisecond;
    await sleep(this.readUntil - now());
    const handle = newHandle('b');
    this.handles.add(handle);
    return json(200, {handle_id: handle, tokens, version: 1});
  }

  async stream(arrival, response) {
    const {id, headers} = arrival;
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Persimmonwick-Response-Signature': `sig-${this.id}-${id}`,
      'Persimmonwick-Weight-Versions': '1',
    });
    for (let event = first; event <= this.eventCount; event += 1) {
      await sleep(this.eventMs);
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
    }
    response.end();
    arrival.isDone = true;
  }

  async answer(arrival, response) {
    await sleep(this.workMs ?? 60);
    if (response.destroyed) return;
    const text = Buffer.alloc(this.answerBytes ?? 800, 'x');
    response.writeHead(200, {
      'Content-Length': text.length,
      'Persimmonwick-Response-Signature': `sig-${this.id}-${arrival.id}`,
    });
    response.end(text);
    arrival.isDone = true;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** A configuration as the operator writes it, with two tenants. */
export function configuration(version, values = {}) {
  const route = (name, more) => ({
    name,
    host: 'calls.example',
    path_prefix: `/${name}/`,
    priority: 1,
    public: false,
    ...more,
  });
  const stream = {
    kind: 'streaming',
    service: 'drawing-llm',
    timeout_ms: 14_000,
    target_latency_ms: 900,
    gap_aim_ms: 300,
    sticky: true,
  };
  const plain = {
    service: 'line-desk',
    timeout_ms: 1500,
    target_latency_ms: 300,
    priority: 2,
  };
  return {
    version,
    routes: [
      route('pinout', {...stream, max_attempts: 2, resumable: true}),
      route('crimp', {...stream, max_attempts: 1, resumable: false}),
      route('release', {...plain, kind: 'non_idempotent', max_attempts: 1}),
      route('status', {...plain, kind: 'idempotent', max_attempts: 2}),
    ],
    services: [
      {
        name: 'drawing-llm',
        health_path: '/health',
        max_conns: 360,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          kv_capacity_tokens: 39_101,
          kv_token_bytes: 327_680,
          link_mbps: 3_600_000.5,
          moves: true,
          backups: true,
          stride: 15,
          most: 12,
          kv_hold_s: 0.5,
          role_switch_s: 6,
          pin_ms: 4000,
          hold_ms: 2000,
          models: [{name: 'm'}],
        },
      },
      {
        name: 'line-desk',
        health_path: '/health',
        max_conns: 96,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: ['member', 'neighbour'].map(name => ({
      name,
      api_keys: [`key-of-${name}`],
      priority: 1,
      unit: 'tokens',
      plain_tokens: 200,
      rate_per_s: 41_340,
      burst: 41_340,
    })),
    ...values,
  };
}

const keyOf = name => ({Authorization: `Bearer key-of-${name}`});
export const memberKey = keyOf('member');

let partCount = 0;

/**
 * Headers of a prompt of `tokens`, which shares nothing with others. The two tenants
 * take turns.
 */
export function promptHeaders(tokens) {
  partCount += 1;
  const part = partCount.toString(16);
  return {
    ...keyOf(partCount % 2 === 0 ? 'member' : 'neighbour'),
    'Content-Type': 'application/json',
    'Persimmonwick-Model': 'm',
    'Persimmonwick-Token-Count': `${tokens},70`,
    'Persimmonwick-Prefix-Hash': `5c${part}:200,9e${part}:${tokens - 200}`,
    'Persimmonwick-Deadline-Ms': '14000',
  };
}
