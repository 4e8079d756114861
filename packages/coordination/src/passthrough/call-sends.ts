/**
 * Counts what upstreams may have received of one call: its runs, and the requests
 * that only have its prompt read. The first prefill that an engine accepts does
 * not count.
 */

export type SendPurpose = 'run' | 'prefill';

/** What became of a send. */
export type SendOutcome =
  /** Nothing reached an upstream. */
  | 'not-sent'
  /** An engine has read the prompt. */
  | 'prefilled'
  /** An upstream may have received it. */
  | 'arrived';

/** A send beyond the first of its call. */
export interface Repeat {
  readonly purpose: SendPurpose;
  /** How the send before it ended. */
  readonly reason: string;
}

export interface CallSend {
  /** Ends the send. `detail` tells how, for logs. */
  end(outcome: SendOutcome, detail: string): void;
}

export class CallSends {
  /** Sends that count, with those that have not ended. */
  private counted = 0;
  private hasPrefill = false;
  private lastDetail = '';

  constructor(private readonly onRepeat: (repeat: Repeat) => void) {}

  /** Records that a request is about to be sent. */
  begin(purpose: SendPurpose): CallSend {
    this.counted += 1;
    const repeat = {purpose, reason: this.lastDetail};
    const isRepeat = this.counted > 1;
    return {
      end: (outcome, detail) => {
        const isFirstPrefill = outcome === 'prefilled' && !this.hasPrefill;
        this.hasPrefill ||= outcome === 'prefilled';
        this.lastDetail = detail;
        if (outcome === 'not-sent' || isFirstPrefill) this.counted -= 1;
        else if (isRepeat) this.onRepeat(repeat);
      },
    };
  }
}
