/** The responses on the connections of a server that have not ended. */

import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {RequestFailure} from '@persimmonwick/coordination';

const none: ReadonlySet<ServerResponse> = new Set();

export class OpenResponses {
  private readonly bySocket = new WeakMap<Socket, Set<ServerResponse>>();
  private readonly failures = new WeakMap<ServerResponse, RequestFailure>();

  /** Has to be called before `server` accepts connections. */
  observe(server: Server): void {
    server.on('connection', (socket: Socket) =>
      this.bySocket.set(socket, new Set()),
    );
    server.on('request', ({socket}, response) => {
      const responses = this.bySocket.get(socket)?.add(response);
      response.once('close', () => responses?.delete(response));
    });
  }

  /** In the order of their calls. */
  of(socket: Socket): ReadonlySet<ServerResponse> {
    return this.bySocket.get(socket) ?? none;
  }

  /**
   * Records why the call of `socket` that was not read whole gets no response of its
   * own. Returns whether there is one.
   */
  failIncomplete(socket: Socket, failure: RequestFailure): boolean {
    const response = [...this.of(socket)].find(({req}) => !req.complete);
    if (response === undefined) return false;
    this.failures.set(response, failure);
    return true;
  }

  /** Whether `socket` carries a call that was not read whole. */
  isUploading(socket: Socket): boolean {
    return [...this.of(socket)].some(({req}) => !req.complete);
  }

  /** The failure of a call that was not read whole. */
  failureOf(response: ServerResponse): RequestFailure | undefined {
    return this.failures.get(response);
  }

  /** Whether no call was read behind the one that `response` answers. */
  isLast(response: ServerResponse): boolean {
    const responses = [...this.of(response.req.socket)];
    return responses.length === 0 || responses.at(-1) === response;
  }

  /** Calls `onAnswered` once all calls of `socket` that were read whole are answered. */
  afterAnswers(socket: Socket, onAnswered: () => void): void {
    const open = [...this.of(socket)].filter(({req}) => req.complete);
    let left = open.length;
    if (left === 0) return onAnswered();
    for (const response of open)
      response.once('close', () => {
        left -= 1;
        if (left === 0) onAnswered();
      });
  }
}
