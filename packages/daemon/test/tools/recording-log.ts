/** A log that records events for assertions. */

import type {EventLog} from '../../src/index.js';

interface RecordedEvent {
  readonly name: string;
  readonly fields: Readonly<Record<string, string | number>>;
}

export class RecordingLog implements EventLog {
  readonly events: RecordedEvent[] = [];

  write: EventLog['write'] = (name, fields) => {
    this.events.push({name, fields});
  };

  eventsOf(name: string) {
    return this.events
      .filter(event => event.name === name)
      .map(({fields}) => fields);
  }

  /** Returns the number of requests that failed with `code`. */
  countFailures(code: string): number {
    return this.eventsOf('requestFailed').filter(
      fields => fields['code'] === code,
    ).length;
  }
}
