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

/**
 * Creates a document of a generated step. Kinds 0 to 3 are accounts, 4 to 7
 * keys whose account or hash can conflict, 8 upstreams, and others invalid
 * keys.
 */
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
const smallInteger = fc.integer({min: 0, max: 3});
const stepArbitrary = fc.array(
  fc.record({
    kind: fc.integer({min: 0, max: 9}),
    name: smallInteger,
    value: smallInteger,
    isWithdrawn: fc.nat(2).map(weight => weight === 0),
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
      const documentKey = `${document.kind}/${document.name}`;
      if (isWithdrawn) next.delete(documentKey);
      else next.set(documentKey, document);
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

/**
 * Selects the start version of a page. Weight 0 is a page with `reset` from
 * version 0, 1 to 3 start at the active version, 4 and 5 at the last read
 * version, and 6 and 7 at an arbitrary version.
 */
function pageStart(store: ConfigurationStore, weight: number, other: number) {
  switch (weight) {
    case 0:
      return 0;
    case 1:
    case 2:
    case 3:
      return Number(store.current.version);
    case 4:
    case 5:
      return Number(store.lastReadVersion);
    default:
      return other;
  }
}

/** A simple reference implementation of the validation rules. */
function isValidSet(documents: ReadonlyArray<{kind: string; name: string}>) {
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

const indexesOf = (configuration: Configuration) => ({
  documents: [...configuration.documents].sort(),
  accounts: [...configuration.accounts.keys()].sort(),
  accountOfKey: [...configuration.accountOfKey].sort(),
  upstreams: [...configuration.upstreams.keys()].sort(),
});

test('pages applied in any order activate only published, valid versions', t => {
  const pages = fc.array(fc.tuple(fc.nat(20), fc.nat(3), fc.nat(7)), {
    minLength: 20,
    maxLength: 40,
  });
  const steps = fc.array(stepArbitrary, {minLength: 20, maxLength: 30});
  fc.assert(
    fc.property(steps, pages, (published, pageInputs) => {
      const versions = publishAll(published);
      const store = new ConfigurationStore({clock: new VirtualClock()});
      let highest = 0n;
      for (const [start, length, weight] of pageInputs) {
        const last = versions.length - 1;
        const reset = weight === 0;
        const from = Math.min(pageStart(store, weight, start), last);
        const to = Math.min(from + length, last);
        const changes = difference(versions[from]!, versions[to]!);
        const page = {from: BigInt(from), to: BigInt(to), changes, reset};
        const outcome = store.apply(page, {kind: 'platform'});
        const {current} = store;
        if (current.version < highest) return false;
        highest = current.version;
        const values = [...versions[Number(current.version)]!.values()];
        if (!isValidSet(values)) return false;
        const expected = buildConfiguration(current.version, values);
        t.true(expected.isOk);
        t.deepEqual(indexesOf(current), indexesOf(expected.unwrapOr(current)));
        const isValid = isValidSet([...versions[to]!.values()]);
        if (outcome.kind === 'refused' && isValid) return false;
      }
      return true;
    }),
    {seed: 20260101, numRuns: 300},
  );
});
