import test from 'ava';
import {Beat} from '@persimmonwick/coordination';
import {HeartbeatSocket} from '../../src/passthrough/heartbeat-socket.js';

// Against: an exception in the timer of the heartbeats, which ends the process.
test('a heartbeat that can not be sent is reported', async t => {
  const errors: string[] = [];
  const socket = new HeartbeatSocket({
    onHeartbeat: () => undefined,
    onStreamOrigin: () => undefined,
    onRetryLoan: () => undefined,
    onError: (_address, reason) => errors.push(reason),
  });
  await socket.listen('127.0.0.1:0');
  const {address} = socket;
  const heartbeat = Beat.decode(new Uint8Array());
  socket.send(address, {...heartbeat, seedContactAgeMilliseconds: -1});
  t.regex(errors[0] ?? '', /invalid uint/);
  socket.close();
  socket.send(address, heartbeat);
  t.regex(errors[1] ?? '', /Not running/i);
});
