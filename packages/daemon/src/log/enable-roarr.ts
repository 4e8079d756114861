/** Enables the output of `roarr`. Must be imported before `roarr` itself. */

process.env['ROARR_LOG'] ??= 'true';
