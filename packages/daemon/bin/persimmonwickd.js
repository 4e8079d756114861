#!/usr/bin/env node
/** Starts the compiled daemon. Committed because npm links it before the build. */
import '../dist/src/main.js';
