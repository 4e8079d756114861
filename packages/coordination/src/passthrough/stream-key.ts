/** Keys under which hosts exchange what they know of a stream. */

import {createHash} from 'node:crypto';
import type {RoutedCall} from './call.js';

/** Characters of a key, of four bits each. */
export const streamKeyLength = 24;

/**
 * Key of the stream that the call `callId` began. It holds the account and the
 * route of `call`, so that no other one finds the stream under the same id.
 */
export function streamKeyOf(
  {account, route}: Pick<RoutedCall, 'account' | 'route'>,
  callId: string,
): string {
  return createHash('sha256')
    .update(JSON.stringify([account ?? '', route.name, callId]))
    .digest('hex')
    .slice(0, streamKeyLength);
}
