/** The connections of a server, whose ends it decides instead of Node. */

import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import type {RequestFailure} from '@persimmonwick/coordination';
import {
  clientErrorResponse,
  connectNotSupported,
  failureOfClientError,
} from '../callers/client-error.js';
import {AcceptTimes, earliestOpeningOf} from '../connections/accept-times.js';
import {BodyReadTurns} from '../connections/body-read-turns.js';
import {CallerSocket} from '../connections/caller-socket.js';
import {CallerConnection} from './caller-connection.js';
import type {CallerConnectionParts} from './caller-connection.js';

/** Longest time to accept the connections that wait when the port is closed. */
const acceptMilliseconds = 500;

export class CallerConnections {
  private readonly bySocket = new Map<Socket, CallerConnection>();
  private readonly turns = new BodyReadTurns();
  private readonly acceptTimes: AcceptTimes;
  private acceptedCount = 0;

  constructor(
    private readonly parts: CallerConnectionParts,
    private readonly onEnd: () => void = () => undefined,
    /** Receives the failure of bytes that are no request. */
    private readonly onRefusal: (
      failure: RequestFailure,
      incompleteResponse: ServerResponse | undefined,
    ) => void = () => undefined,
  ) {
    const {monitor} = parts;
    this.acceptTimes = new AcceptTimes(() => monitor.earliestArrival());
  }

  get size(): number {
    return this.bySocket.size;
  }

  /** Has to be called before `server` accepts connections. */
  observe(server: Server): void {
    // Node gives no choice of the sockets that it passes to its own listeners.
    const listeners = server.listeners('connection');
    server.removeAllListeners('connection');
    server.on('connection', (accepted: Socket) => {
      // It may have waited for the server.
      if (accepted.destroyed) return;
      this.parts.monitor.recordRead();
      // One of an early listener was recorded there.
      if (earliestOpeningOf(accepted) === undefined)
        this.acceptTimes.record(accepted);
      const socket = this.takeOver(accepted);
      for (const listener of listeners) listener.call(server, socket);
      this.add(socket, earliestOpeningOf(accepted));
    });
    // Without a listener, Node destroys connections that are idle for too long.
    server.on('timeout', () => undefined);
    // Node would destroy the connection, with the responses under way.
    server.on('connect', (_request, socket: Socket) => {
      socket.on('error', () => socket.destroy());
      this.refuseInput(socket, connectNotSupported);
    });
    // Node calls this when it stops listening, and would close connections whose
    // last response is still on its way.
    server.closeIdleConnections = () => {
      for (const connection of [...this.bySocket.values()])
        connection.endIfIdle();
    };
    // The end of a caller's direction alone does not end the connection. Node's
    // types lack the property.
    Object.assign(server, {httpAllowHalfOpen: true});
  }

  /** Returns the socket of the connection that `accepted` was made for. */
  takeOver(accepted: Socket): CallerSocket {
    if (accepted instanceof CallerSocket) return accepted;
    return CallerSocket.takeOver(accepted, this.parts.monitor, this.turns);
  }

  of(socket: Socket): CallerConnection | undefined {
    return this.bySocket.get(socket);
  }

  /** The connection that carries `response`. */
  carrying({req}: ServerResponse): CallerConnection | undefined {
    return this.of(req.socket);
  }

  /** Ends the connection of bytes that Node reports as the error `code`. */
  handleClientError({code}: NodeJS.ErrnoException, socket: Socket): void {
    if (code === 'ECONNRESET' || !socket.writable) return void socket.destroy();
    const refuse = () => this.refuseInput(socket, failureOfClientError(code));
    const isDeferred =
      code === 'ERR_HTTP_REQUEST_TIMEOUT' &&
      this.of(socket)?.deferTimeout(refuse) === true;
    if (!isDeferred) refuse();
  }

  /**
   * Resolves once no connection waits at the port any more, which would be reset
   * when the port is closed.
   */
  async acceptWaiting(): Promise<void> {
    const {clock} = this.parts;
    const latest = clock.now() + acceptMilliseconds;
    let accepted: number;
    // Node accepts one connection in each turn of the event loop.
    do {
      accepted = this.acceptedCount;
      await setImmediate();
      await setImmediate();
    } while (this.acceptedCount > accepted && clock.now() < latest);
  }

  /** Reads no further request of any connection. */
  stopReading(): void {
    for (const connection of this.bySocket.values()) connection.stopReading();
  }

  /** Closes all connections at once; resolves once their ends were reported. */
  async close(): Promise<void> {
    const closed = [...this.bySocket.keys()].map(
      socket => new Promise(resolve => socket.once('close', resolve)),
    );
    for (const connection of [...this.bySocket.values()])
      void connection.close('host-closed');
    await Promise.all(closed);
  }

  private refuseInput(socket: Socket, failure: RequestFailure): void {
    const connection = this.of(socket);
    // The malformed bytes are a part of the call that was not read whole.
    const incompleteResponse = connection?.incompleteResponse;
    if (connection?.endMalformed(clientErrorResponse(failure)) === true)
      this.onRefusal(failure, incompleteResponse);
  }

  private add(socket: CallerSocket, earliestOpening: number | undefined): void {
    this.acceptedCount += 1;
    this.bySocket.set(
      socket,
      new CallerConnection(socket, this.parts, earliestOpening),
    );
    // Node's HTTP parser reads the socket by itself unless someone else does.
    socket.on('data', () => undefined);
    socket.once('close', () => {
      this.bySocket.delete(socket);
      this.onEnd();
    });
  }
}
