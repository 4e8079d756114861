/** Reads what a peer has in force beyond the own version. */

import {Result} from 'true-myth';
import type {ConfigurationReply} from '../generated/messages/persimmonwick/configuration.js';
import type {HostId} from '../ids.js';
import type {PeerError, PeerTransport} from '../peers/transport.js';
import type {ConfigurationPage} from './configuration-page.js';
import {readReplies} from './configuration-page.js';

/** Time for an answer besides the wait that was asked for. */
const answerMilliseconds = 1000;

/** Pages of one transfer; more are taken for a peer that is at fault. */
const maximumPages = 1000;

/** Asks `host` for changes after `afterVersion`, page by page. */
export async function pullConfiguration(
  transport: PeerTransport,
  host: HostId,
  afterVersion: bigint,
  waitMilliseconds: number,
): Promise<Result<ConfigurationPage, PeerError>> {
  const malformed = () =>
    Result.err<ConfigurationPage, PeerError>({kind: 'malformed', host});
  let replies: ConfigurationReply[] = [];
  let wait = waitMilliseconds;
  for (let page = 0; page < maximumPages; page += 1) {
    const last = replies.at(-1);
    const answer = await transport.exchange(
      host,
      {
        $case: 'configuration',
        value: {
          afterVersion,
          waitMilliseconds: wait,
          transferVersion: last?.toVersion ?? 0n,
          afterKey: last?.changes.at(-1)?.key ?? '',
        },
      },
      wait + answerMilliseconds,
    );
    if (answer.isErr) return Result.err(answer.error);
    if (answer.value.$case !== 'configuration') return malformed();
    const reply = answer.value.value;
    wait = 0;
    const isContinued = last?.toVersion === reply.toVersion;
    if (isContinued && last.reset !== reply.reset) {
      // The peer was replaced on the way: its page does not fit the first ones.
      replies = [];
      continue;
    }
    replies = isContinued ? [...replies, reply] : [reply];
    if (reply.more && reply.changes.length > 0) continue;
    const read = readReplies(replies);
    return read.isOk ? Result.ok(read.value) : malformed();
  }
  return malformed();
}
