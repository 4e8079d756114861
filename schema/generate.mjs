/**
 * Generates the TypeScript code of the schemas: peer messages from the `.proto`
 * files, settings and documents from the JSON Schema files. With `--check` it
 * writes nothing and fails when committed code differs.
 */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, readdirSync, rmSync} from 'node:fs';
import {cpSync, mkdirSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join, relative} from 'node:path';
import {fileURLToPath} from 'node:url';
import {compile} from 'json-schema-to-typescript';

const schemaFolder = dirname(fileURLToPath(import.meta.url));
const target = join(schemaFolder, '../packages/coordination/src/generated');
const staging = mkdtempSync(join(tmpdir(), 'persimmonwick-generate-'));

async function generateSchema(name) {
  const text = readFileSync(
    join(schemaFolder, `json/${name}.schema.json`),
    'utf8',
  );
  const types = await compile(JSON.parse(text), name, {
    bannerComment: '/* Generated from the JSON Schema; do not edit. */',
    additionalProperties: false,
  });
  writeFileSync(join(staging, `${name}.ts`), types);
  const schema = `/* Generated from the JSON Schema; do not edit. */\nexport const ${name}Schema = ${JSON.stringify(JSON.parse(text), null, 2)} as const;\n`;
  writeFileSync(join(staging, `${name}-schema.ts`), schema);
}

function generateMessages() {
  mkdirSync(join(staging, 'messages'), {recursive: true});
  const template = readFileSync(join(schemaFolder, 'buf.gen.yaml'), 'utf8');
  const redirected = template.replace(
    '../packages/coordination/src/generated/messages',
    join(staging, 'messages'),
  );
  const buf = join(schemaFolder, '../node_modules/.bin/buf');
  execFileSync(buf, ['generate', '--template', redirected], {
    cwd: schemaFolder,
    stdio: 'inherit',
  });
}

function listFiles(folder) {
  return readdirSync(folder, {recursive: true, withFileTypes: true})
    .filter(entry => entry.isFile())
    .map(entry => relative(folder, join(entry.parentPath, entry.name)))
    .sort();
}

function findDifferences() {
  const names = new Set([...listFiles(staging), ...listFiles(target)]);
  const read = path => {
    try {
      return readFileSync(path, 'utf8');
    } catch {
      return undefined;
    }
  };
  return [...names].filter(
    name => read(join(staging, name)) !== read(join(target, name)),
  );
}

try {
  await generateSchema('settings');
  await generateSchema('documents');
  await generateSchema('chat');
  await generateSchema('trace');
  generateMessages();
  if (process.argv.includes('--check')) {
    const differences = findDifferences();
    for (const name of differences) console.error(`differs: ${name}`);
    process.exitCode = differences.length === 0 ? 0 : 1;
  } else {
    rmSync(target, {recursive: true, force: true});
    cpSync(staging, target, {recursive: true});
  }
} finally {
  rmSync(staging, {recursive: true, force: true});
}
