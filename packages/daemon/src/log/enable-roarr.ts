/** Turns the writer of `roarr` on; imported before `roarr` itself. */

process.env['ROARR_LOG'] ??= 'true';
