/** Tables for people. */

/** Lines of a table whose columns are as wide as their widest cell. */
export function formatTable(
  heading: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string[] {
  const all = [heading, ...rows];
  const widths = heading.map((_cell, column) =>
    Math.max(...all.map(row => (row[column] ?? '').length)),
  );
  return all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join('  ')
      .trimEnd(),
  );
}
