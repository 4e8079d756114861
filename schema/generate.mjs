/**
 * Generates TypeScript code from the schemas: peer messages from the `.proto`
 * files, types and validators from the JSON Schema files. With `--check`, writes
 * nothing and fails if the committed code differs from the generated code.
 */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, readdirSync, rmSync} from 'node:fs';
import {cpSync, mkdirSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join, relative} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Ajv} from 'ajv';
import standalone from 'ajv/dist/standalone/index.js';
import {compile} from 'json-schema-to-typescript';
import {format} from 'prettier';

const schemaFolder = dirname(fileURLToPath(import.meta.url));
const outputFolder = join(
  schemaFolder,
  '../packages/coordination/src/generated',
);
const stagingFolder = mkdtempSync(join(tmpdir(), 'persimmonwick-generate-'));

async function generateFromSchema(name, options = {}) {
  const text = readFileSync(
    join(schemaFolder, `json/${name}.schema.json`),
    'utf8',
  );
  const types = await compile(JSON.parse(text), name, {
    bannerComment: '/* Generated from the JSON Schema; do not edit. */',
    additionalProperties: false,
  });
  writeFileSync(join(stagingFolder, `${name}.ts`), types);
  const validators = createValidatorCode(JSON.parse(text), options);
  writeFileSync(
    join(stagingFolder, `${name}-validators.ts`),
    await format(validators, {parser: 'typescript', singleQuote: true}),
  );
}

/**
 * Generates standalone validators for the schema, or for each document type that
 * it defines. Compiling a schema at startup would take longer than the rest of
 * the startup.
 */
function createValidatorCode(schema, options) {
  const ajv = new Ajv({
    allErrors: true,
    strict: false,
    code: {source: true, esm: true},
    ...options,
  });
  ajv.addSchema(schema);
  const documentTypes = Object.keys(schema.definitions ?? {}).filter(title =>
    title.endsWith('Document'),
  );
  const references =
    documentTypes.length === 0
      ? {[`check${schema.title}`]: schema.$id}
      : Object.fromEntries(
          documentTypes.map(title => [
            `check${title}`,
            `${schema.$id}#/definitions/${title}`,
          ]),
        );
  const imports = new Set();
  const code = standalone
    .default(ajv, references)
    .replaceAll(/require\("ajv\/dist\/runtime\/(\w+)"\)/g, (_, helper) => {
      imports.add(`import ${helper} from 'ajv/dist/runtime/${helper}.js';`);
      return helper;
    })
    .replaceAll('export const check', 'const check');
  const exported = Object.keys(references).map(
    check =>
      `export const ${check.replace('check', 'validate')} = ${check} as unknown as SchemaValidator;`,
  );
  return [
    '// @ts-nocheck',
    '/* Generated from the JSON Schema; do not edit. */',
    ...imports,
    "import type {SchemaValidator} from '../schema-validator.js';",
    code.replace(/^"use strict";/, ''),
    ...exported,
    '',
  ].join('\n');
}

function generateMessages() {
  mkdirSync(join(stagingFolder, 'messages'), {recursive: true});
  const template = readFileSync(join(schemaFolder, 'buf.gen.yaml'), 'utf8');
  const templateForStaging = template.replace(
    '../packages/coordination/src/generated/messages',
    join(stagingFolder, 'messages'),
  );
  const buf = join(schemaFolder, '../node_modules/.bin/buf');
  execFileSync(buf, ['generate', '--template', templateForStaging], {
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
  const names = new Set([
    ...listFiles(stagingFolder),
    ...listFiles(outputFolder),
  ]);
  const read = path => {
    try {
      return readFileSync(path, 'utf8');
    } catch {
      return undefined;
    }
  };
  return [...names].filter(
    name => read(join(stagingFolder, name)) !== read(join(outputFolder, name)),
  );
}

try {
  await generateFromSchema('settings', {useDefaults: true});
  await generateFromSchema('documents');
  await generateFromSchema('chat', {allErrors: false});
  await generateFromSchema('trace', {useDefaults: true, discriminator: true});
  generateMessages();
  if (process.argv.includes('--check')) {
    const differences = findDifferences();
    for (const name of differences)
      console.error(`generated code is out of date: ${name}`);
    process.exitCode = differences.length === 0 ? 0 : 1;
  } else {
    rmSync(outputFolder, {recursive: true, force: true});
    cpSync(stagingFolder, outputFolder, {recursive: true});
  }
} finally {
  rmSync(stagingFolder, {recursive: true, force: true});
}
