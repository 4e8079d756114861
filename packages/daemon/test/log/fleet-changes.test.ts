import test from 'ava';
import {VirtualClock, hostId} from '@persimmonwick/coordination';
import {FleetChangeLog} from '../../src/passthrough/fleet-change-log.js';
import {RecordingLog} from '../tools/recording-log.js';

test('a wave of changes is logged one by one at first and then as counts', async t => {
  const clock = new VirtualClock();
  const log = new RecordingLog();
  const changes = new FleetChangeLog(log, clock, () => 195);
  for (let host = 0; host < 194; host += 1)
    changes.record({kind: 'joined', host: hostId(`h${host}`)});
  changes.record({kind: 'silent', host: hostId('h1')});
  await clock.advance(2000);
  const single = log.eventsOf('hostChanged');
  t.is(single.length, 8);
  t.deepEqual(log.eventsOf('hostsChanged'), [
    {change: 'joined', count: 194 - single.length, hosts: 195},
    {change: 'silent', count: 1, hosts: 195},
  ]);
  changes.record({kind: 'left', host: hostId('h1')});
  t.is(log.eventsOf('hostChanged').length, single.length + 1);
  changes.close();
  t.is(log.eventsOf('hostsChanged').length, 2);
});
