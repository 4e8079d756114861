import test from 'ava';
import fc from 'fast-check';
import {
  ConfigurationStore,
  VirtualClock,
  buildConfiguration,
} from '../src/index.js';
import type {Configuration, ConfigurationChange} from '../src/index.js';
import {account, key, upstream} from './tools/documents.js';

type Documents = ReadonlyMap<string, {kind: string; name: string}>;

/** One published step: some documents change, some of them into nonsense. */
const documentOf = (kind: number, name: number, value: number) => {
  switch (kind % 5) {
    case 0:
      return account(`a${name}`, value);
    case 1:
      return {...key(`k${name}`, `a${value}`)};
    case 2:
      return {
        ...key(`k${name}`, `a${name}`),
        spec: key(`k${value}`, 'a0').spec,
      };
    case 3:
      return upstream(`u${name}`, `d${value}`);
    default:
      return {kind: 'Key', name: `k${name}`, spec: {account: value}};
  }
};
const small = fc.integer({min: 0, max: 3});
const step = fc.array(
  fc.record({
    kind: fc.integer({min: 0, max: 4}),
    name: small,
    value: small,
    isWithdrawn: fc.boolean(),
  }),
  {minLength: 1, maxLength: 4},
);

interface Step {
  readonly kind: number;
  readonly name: number;
  readonly value: number;
  readonly isWithdrawn: boolean;
}

function publishAll(steps: readonly Step[][]) {
  const versions: Documents[] = [new Map()];
  for (const changes of steps) {
    const next = new Map(versions.at(-1));
    for (const {kind, name, value, isWithdrawn} of changes) {
      const document = documentOf(kind, name, value);
      const label = `${document.kind}/${document.name}`;
      if (isWithdrawn) next.delete(label);
      else next.set(label, document);
    }
    versions.push(next);
  }
  return versions;
}

function difference(from: Documents, to: Documents): ConfigurationChange[] {
  const keys = new Set([...from.keys(), ...to.keys()]);
  return [...keys]
    .filter(name => from.get(name) !== to.get(name))
    .map(name =>
      to.has(name)
        ? {kind: 'publish', key: name, document: to.get(name)}
        : {kind: 'withdraw', key: name},
    );
}

const tablesOf = (configuration: Configuration) => ({
  documents: [...configuration.documents].sort(),
  accounts: [...configuration.accounts.keys()].sort(),
  accountOfKey: [...configuration.accountOfKey].sort(),
  upstreams: [...configuration.upstreams.keys()].sort(),
});

test('pages in any order lead to what was published', t => {
  const pages = fc.array(fc.tuple(fc.nat(12), fc.nat(12), fc.boolean()), {
    minLength: 5,
    maxLength: 60,
  });
  const steps = fc.array(step, {minLength: 3, maxLength: 12});
  fc.assert(
    fc.property(steps, pages, (published, order) => {
      const versions = publishAll(published);
      const store = new ConfigurationStore({clock: new VirtualClock()});
      let highest = 0n;
      for (const [first, second, reset] of order) {
        const to = Math.min(second, versions.length - 1);
        const from = reset ? 0 : Math.min(first, to);
        const changes = difference(versions[from]!, versions[to]!);
        const page = {from: BigInt(from), to: BigInt(to), changes, reset};
        const outcome = store.apply(page, {kind: 'platform'});
        const {current} = store;
        if (current.version < highest) return false;
        highest = current.version;
        const values = [...versions[Number(current.version)]!.values()];
        const whole = buildConfiguration(current.version, values);
        if (whole.isErr) return false;
        t.deepEqual(tablesOf(current), tablesOf(whole.value));
        const wanted = buildConfiguration(1n, [...versions[to]!.values()]);
        if (outcome.kind === 'refused' && wanted.isOk) return false;
      }
      return true;
    }),
    {seed: 20260101, numRuns: 400},
  );
});
