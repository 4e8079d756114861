/** Transfers the configuration changes of a peer in one or more replies. */

import {Result} from 'true-myth';
import type {ConfigurationReply} from '../generated/messages/persimmonwick/configuration.js';
import type {HostId} from '../ids.js';
import type {PeerError, PeerTransport} from '../peers/transport.js';
import type {ConfigurationPage} from './configuration-page.js';
import {decodeReplies} from './configuration-page.js';

/** Time after the requested wait at which an unanswered request fails. */
const timeoutMarginMilliseconds = 1000;

/**
 * Maximum replies of one transfer. A peer that exceeds it is malfunctioning.
 */
const maximumReplies = 1000;

/** Pulls the changes after `afterVersion` from `host`. */
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
  for (let count = 0; count < maximumReplies; count += 1) {
    const last = replies.at(-1);
    const result = await transport.exchange(
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
      wait + timeoutMarginMilliseconds,
    );
    if (result.isErr) return Result.err(result.error);
    if (result.value.$case !== 'configuration') return malformed();
    const reply = result.value.value;
    wait = 0;
    const isContinued = last?.toVersion === reply.toVersion;
    if (isContinued && last.reset !== reply.reset) {
      // The peer was replaced during the transfer, so its reply does not
      // continue the earlier ones. The transfer restarts.
      replies = [];
      continue;
    }
    replies = isContinued ? [...replies, reply] : [reply];
    if (reply.more && reply.changes.length > 0) continue;
    const read = decodeReplies(replies);
    return read.isOk ? Result.ok(read.value) : malformed();
  }
  return malformed();
}
