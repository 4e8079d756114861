/**
 * Checks heartbeats before they are used. A datagram may come from anywhere, and
 * one that decodes may still hold values that no host sends.
 */

import {Result} from 'true-myth';
import type {
  Beat,
  StreamOriginMessage,
  StreamOriginRecord,
} from '../generated/messages/persimmonwick/beat.js';
import {maximumReportedDemands} from '../decisions/domain-demand.js';
import {maximumReportedSpeeds} from '../decisions/upstream-speeds.js';
import {maximumTraitLength} from './crash-traits.js';
import {
  maximumReportedEntries,
  maximumReportedTraits,
} from './request-quarantine.js';
import {maximumReportedSpares} from './retry-loans.js';
import {streamKeyLength} from './stream-key.js';
import {maximumReportedLimits} from './upstream-request-limits.js';

const addressPattern = /^\d{1,3}(\.\d{1,3}){3}:(\d{1,5})$/;
const maximumPort = 65_535;

/** Unreachable pools in one heartbeat. */
export const maximumReportedPools = 64;

/** Longest name of a host, account or upstream in a heartbeat. */
const maximumNameLength = 256;

/** Returns `heartbeat` if all its values are plausible, else the first fault. */
export function checkHeartbeat(heartbeat: Beat): Result<Beat, string> {
  const {host, address, usage, loads, known} = heartbeat;
  const {upstreamLosses, quarantinedTraits, soundTraits} = heartbeat;
  if (!isName(host)) return Result.err('the host has no valid name');
  if (!isHostAddress(address))
    return Result.err(`${address.slice(0, maximumNameLength)} is no address`);
  for (const {account, admittedTokens} of usage)
    if (!isName(account) || !(admittedTokens >= 0 && admittedTokens < Infinity))
      return Result.err('the usage of an account is no amount');
  if (!loads.every(({upstream}) => isName(upstream)))
    return Result.err('an upstream has no valid name');
  if (!known.every(each => isName(each.host) && isHostAddress(each.address)))
    return Result.err('a known host has no valid name or address');
  if (
    !upstreamLosses.every(
      ({upstream, traits}) =>
        isName(upstream) &&
        traits.length <= maximumReportedTraits &&
        traits.every(isTrait),
    )
  )
    return Result.err('a lost upstream has no valid name or traits');
  if (
    !quarantinedTraits.every(
      ({trait, companions}) =>
        isTrait(trait) &&
        companions.length <= maximumReportedEntries &&
        companions.every(isTrait),
    )
  )
    return Result.err('a quarantined trait has no valid id');
  if (!soundTraits.every(isTrait))
    return Result.err('a sound trait has no valid id');
  if (
    [upstreamLosses, quarantinedTraits, soundTraits].some(
      ({length}) => length > maximumReportedEntries,
    )
  )
    return Result.err('there are more traits than a host reports');
  const {handoverAddress, unreachablePools} = heartbeat;
  if (handoverAddress !== '' && !isHostAddress(handoverAddress))
    return Result.err('the address for calls of other hosts is not valid');
  if (
    unreachablePools.length > maximumReportedPools ||
    !unreachablePools.every(isName)
  )
    return Result.err('a pool has no valid name, or there are too many');
  const {requestLimits} = heartbeat;
  if (requestLimits.length > maximumReportedLimits)
    return Result.err('there are more request limits than a host reports');
  for (const {upstream, requestsPerSecond} of requestLimits)
    if (
      !isName(upstream) ||
      !(requestsPerSecond >= 0 && requestsPerSecond < Infinity)
    )
      return Result.err('a request limit has no valid upstream or amount');
  const {speedKeys, speedWork, speedMilliseconds} = heartbeat;
  if (
    speedKeys.length > maximumReportedSpeeds ||
    speedWork.length !== speedKeys.length ||
    speedMilliseconds.length !== speedKeys.length
  )
    return Result.err('the speeds of upstreams are too many or incomplete');
  if (heartbeat.spareRetries.length > maximumReportedSpares)
    return Result.err('there are more spare retries than a host reports');
  const {demandKeys, demandWork} = heartbeat;
  if (
    demandKeys.length > maximumReportedDemands ||
    demandWork.length !== demandKeys.length
  )
    return Result.err('the demands of pools are too many or incomplete');
  return Result.ok(heartbeat);
}

/** Returns `message` if all its values are plausible, else the first fault. */
export function checkStreamOriginMessage(
  message: StreamOriginMessage,
): Result<StreamOriginMessage, string> {
  const {content} = message;
  switch (content?.$case) {
    case 'record':
      return isOriginRecord(content.value)
        ? Result.ok(message)
        : Result.err('the origin of a stream is not valid');
    case 'query':
      return isStreamKey(content.value.key)
        ? Result.ok(message)
        : Result.err('the key of a stream is not valid');
    case 'reply': {
      const {record} = content.value;
      return record === undefined || isOriginRecord(record)
        ? Result.ok(message)
        : Result.err('the origin of a stream is not valid');
    }
    case undefined:
      return Result.err('a message about streams has no content');
  }
}

function isOriginRecord(record: StreamOriginRecord): boolean {
  const {key, pool, softwareVersion, unconfirmedUpstream} = record;
  return (
    isStreamKey(key) &&
    isName(pool) &&
    softwareVersion.length <= maximumNameLength &&
    unconfirmedUpstream.length <= maximumNameLength
  );
}

function isStreamKey(key: string): boolean {
  return key.length === streamKeyLength;
}

/** Returns whether `address` is an IPv4 number and a port that can be sent to. */
export function isHostAddress(address: string): boolean {
  const port = Number(addressPattern.exec(address)?.[2] ?? 0);
  return port > 0 && port <= maximumPort;
}

function isTrait(trait: string): boolean {
  return trait !== '' && trait.length <= maximumTraitLength;
}

function isName(name: string): boolean {
  return name !== '' && name.length <= maximumNameLength;
}
