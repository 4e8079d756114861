/** Fleets of limiters in virtual time, one class for each compared method. */

import {
  InMemoryNetwork,
  Limiter,
  TokenBucket,
  VirtualClock,
  buildConfiguration,
  failureDomainId,
  hostId,
  immediateDelivery,
  incarnation,
} from '../packages/coordination/dist/src/index.js';

export const hostCount = 9;
export const hostsPerDomain = 3;
const betweenDomainsMilliseconds = 1.5;
const insideDomainMilliseconds = 0.25;

export const domainOf = index => Math.floor(index / hostsPerDomain);
const nameOf = index => `host-${index}`;
const indexOf = name => Number(name.slice('host-'.length));

export const members = Array.from({length: hostCount}, (_, index) => ({
  host: nameOf(index),
  failureDomain: `domain-${domainOf(index)}`,
  address: `10.0.0.${index + 1}:7000`,
}));

export function configurationOf(accounts, memberList) {
  return buildConfiguration(1n, [
    ...accounts.map(({name, rate, burst}) => ({
      kind: 'ClientAccount',
      name,
      spec: {rateTokensPerSecond: rate, burstTokens: burst},
    })),
    {kind: 'Membership', name: 'fleet', spec: {members: memberList}},
  ]).unwrapOrElse(faults => {
    throw new RangeError(JSON.stringify(faults));
  });
}

/** Hosts that each run a `Limiter`. */
export class LimiterFleet {
  clock = new VirtualClock();
  exchangeCount = 0;
  cutDomain = undefined;
  limiters = [];
  #network = new InMemoryNetwork(this.clock);
  #processes = [];
  #incarnations = 0;

  constructor(accounts, {memberList = members, holdersPerDomain}) {
    this.configuration = configurationOf(accounts, memberList);
    this.holdersPerDomain = holdersPerDomain;
    this.#network.policy = (from, to) =>
      this.#deliver(domainOf(indexOf(from)), domainOf(indexOf(to)));
    for (let index = 0; index < hostCount; index += 1) this.replace(index);
  }

  admit(index, account, tokens) {
    return this.limiters[index].admit(account, tokens);
  }

  /**
   * Starts the process of a host. A previous process counts as crashed and returns
   * no tokens to the holders.
   */
  replace(index) {
    const processState = {hasTerminated: false};
    if (this.#processes[index]) this.#processes[index].hasTerminated = true;
    void this.limiters[index]?.close();
    this.#processes[index] = processState;
    this.#incarnations += 1;
    const identity = {
      host: hostId(nameOf(index)),
      incarnation: incarnation(String(this.#incarnations)),
    };
    const limiter = new Limiter({
      clock: {
        now: () => this.clock.now(),
        wallNow: () => this.clock.wallNow(),
        sleep: milliseconds => this.clock.sleep(milliseconds),
      },
      transport: this.#createTransport(identity, processState),
      self: identity.host,
      incarnation: identity.incarnation,
      failureDomain: failureDomainId(members[index].failureDomain),
      configuration: () => this.configuration,
      holdersPerDomain: this.holdersPerDomain,
    });
    this.limiters[index] = limiter;
    this.#network.attach(identity.host, body => ({
      $case: 'limit',
      value: limiter.handle(body.value),
    }));
  }

  async close() {
    await this.clock.runUntil(
      Promise.all(this.limiters.map(limiter => limiter.close())),
    );
  }

  #createTransport(identity, processState) {
    const transport = this.#network.transportOf(identity);
    return {
      exchange: (host, body, timeout) => {
        if (processState.hasTerminated) return new Promise(() => {});
        this.exchangeCount += 1;
        return transport.exchange(host, body, timeout);
      },
    };
  }

  #deliver(from, to) {
    const isCut = (from === this.cutDomain) !== (to === this.cutDomain);
    return {
      ...immediateDelivery,
      isDropped: isCut,
      delayMilliseconds:
        from === to ? insideDomainMilliseconds : betweenDomainsMilliseconds,
    };
  }
}

/** Hosts that each have a fixed share of the rate and exchange no messages. */
export class FixedShareFleet {
  clock = new VirtualClock();
  exchangeCount = 0;
  cutDomain = undefined;
  #buckets = [];

  constructor(accounts) {
    this.accounts = accounts;
    for (let index = 0; index < hostCount; index += 1) this.replace(index);
  }

  async admit(index, account, tokens) {
    const bucket = this.#buckets[index].get(account);
    return chargeAll(bucket, tokens, this.clock);
  }

  replace(index) {
    this.#buckets[index] = new Map(
      this.accounts.map(({name, rate, burst}) => [
        name,
        createEmptyBucket(
          rate / hostCount,
          burst / hostCount,
          this.clock.now(),
        ),
      ]),
    );
  }

  async close() {}
}

/** One token bucket shared by all hosts, unaffected by faults. */
export class CentralFleet {
  clock = new VirtualClock();
  exchangeCount = 0;
  cutDomain = undefined;

  constructor(accounts) {
    this.buckets = new Map(
      accounts.map(({name, rate, burst}) => [
        name,
        createEmptyBucket(rate, burst, 0),
      ]),
    );
  }

  async admit(_index, account, tokens) {
    return chargeAll(this.buckets.get(account), tokens, this.clock);
  }

  replace() {}

  async close() {}
}

function createEmptyBucket(rate, burst, now) {
  return new TokenBucket(
    {tokensPerSecond: rate, capacityTokens: burst},
    {levelTokens: 0, refillStartsAt: now},
  );
}

/** Charges all `tokens` or, if the bucket holds fewer, none. */
function chargeAll(bucket, tokens, clock) {
  if (bucket.available(clock.now()) < tokens) return {isOk: false};
  const {mark} = bucket.charge(tokens, clock.now());
  const settle = usedTokens =>
    bucket.refund(mark, tokens - usedTokens, clock.now());
  return {isOk: true, value: {settle}};
}
