import test from 'ava';
import fc from 'fast-check';
import {
  ConfigurationStore,
  VirtualClock,
  buildConfiguration,
} from '../src/index.js';
import type {Configuration, ConfigurationChange} from '../src/index.js';
import {account, accountsWithKeys, key, upstream} from './tools/documents.js';

type Documents = ReadonlyMap<string, {kind: string; name: string}>;

/** One published step: some documents change, some of them into nonsense. */
const documentOf = (kind: number, name: number, value: number) => {
  switch (kind) {
    case 0:
    case 1:
    case 2:
    case 3:
      return account(`account-${name}`, value);
    case 4:
    case 5:
    case 6:
      return {...key(`key-${name}`, `account-${value}`)};
    case 7:
      return {
        ...key(`key-${name}`, `account-${name}`),
        spec: key(`key-${value}`, 'account-0').spec,
      };
    case 8:
      return upstream(`u${name}`, `d${value}`);
    default:
      return {kind: 'Key', name: `key-${name}`, spec: {account: value}};
  }
};
const small = fc.integer({min: 0, max: 3});
const step = fc.array(
  fc.record({
    kind: fc.integer({min: 0, max: 9}),
    name: small,
    value: small,
    isWithdrawn: fc.nat(2).map(chance => chance === 0),
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
  const first = new Map(
    accountsWithKeys(4).map(each => [`${each.kind}/${each.name}`, each]),
  );
  const versions: Documents[] = [new Map(), first];
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

/** Most pages follow what the store has; others come from anywhere. */
function pageStart(store: ConfigurationStore, chance: number, other: number) {
  switch (chance) {
    case 0:
      return 0;
    case 1:
    case 2:
    case 3:
      return Number(store.current.version);
    case 4:
    case 5:
      return Number(store.newestReadVersion);
    default:
      return other;
  }
}

/** The rules of the check, told in the plainest way. */
function isSound(documents: ReadonlyArray<{kind: string; name: string}>) {
  const names = new Set(documents.map(each => `${each.kind}/${each.name}`));
  const keys = documents.filter(each => each.kind === 'Key') as Array<
    ReturnType<typeof key>
  >;
  const hashes = keys.map(each => each.spec.sha256);
  return (
    keys.every(each => names.has(`ClientAccount/${each.spec.account}`)) &&
    hashes.every(hash => hash !== undefined) &&
    new Set(hashes).size === hashes.length
  );
}

const tablesOf = (configuration: Configuration) => ({
  documents: [...configuration.documents].sort(),
  accounts: [...configuration.accounts.keys()].sort(),
  accountOfKey: [...configuration.accountOfKey].sort(),
  upstreams: [...configuration.upstreams.keys()].sort(),
});

test('pages in any order lead to what was published', t => {
  const pages = fc.array(fc.tuple(fc.nat(20), fc.nat(3), fc.nat(7)), {
    minLength: 20,
    maxLength: 40,
  });
  const steps = fc.array(step, {minLength: 20, maxLength: 30});
  fc.assert(
    fc.property(steps, pages, (published, order) => {
      const versions = publishAll(published);
      const store = new ConfigurationStore({clock: new VirtualClock()});
      let highest = 0n;
      for (const [first, second, chance] of order) {
        const last = versions.length - 1;
        const reset = chance === 0;
        const from = Math.min(pageStart(store, chance, first), last);
        const to = Math.min(from + second, last);
        const changes = difference(versions[from]!, versions[to]!);
        const page = {from: BigInt(from), to: BigInt(to), changes, reset};
        const outcome = store.apply(page, {kind: 'platform'});
        const {current} = store;
        if (current.version < highest) return false;
        highest = current.version;
        const values = [...versions[Number(current.version)]!.values()];
        if (!isSound(values)) return false;
        const whole = buildConfiguration(current.version, values);
        t.true(whole.isOk);
        t.deepEqual(tablesOf(current), tablesOf(whole.unwrapOr(current)));
        const wanted = isSound([...versions[to]!.values()]);
        if (outcome.kind === 'refused' && wanted) return false;
      }
      return true;
    }),
    {seed: 20260101, numRuns: 300},
  );
});
