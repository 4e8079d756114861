#!/usr/bin/env node
/**
 * Runs the compiled program. The file is committed because npm links executables
 * before the build has created `dist`.
 */
import '../dist/src/main.js';
