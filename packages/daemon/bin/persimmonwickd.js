#!/usr/bin/env node
/** Starts the built program; stands in the repository so that npm links it. */
import '../dist/src/main.js';
