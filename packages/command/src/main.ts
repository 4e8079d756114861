#!/usr/bin/env node
/** Entry point of the command-line tool. */

import process from 'node:process';
import {runCommand} from './run-command.js';

process.exitCode = await runCommand(process.argv.slice(2), {
  input: process.stdin,
  print: line => void process.stdout.write(`${line}\n`),
  printError: line => void process.stderr.write(`${line}\n`),
  prompt: text => void process.stderr.write(text),
});
