/** Formats tables for terminal output. */

/** Formats a table with columns as wide as their widest cells. */
export function formatTable(
  heading: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string[] {
  const lines = [heading, ...rows];
  const widths = heading.map((_cell, column) =>
    Math.max(...lines.map(row => (row[column] ?? '').length)),
  );
  return lines.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join('  ')
      .trimEnd(),
  );
}
