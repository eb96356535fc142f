/** Small pieces of Markdown. */

/** A table with a heading row. */
export function table(headings: readonly string[], rows: readonly (readonly string[])[]): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
  return [line(headings), line(headings.map(() => '---')), ...rows.map(line)].join('\n');
}

/** A number with three digits, or all those before the point. */
export function figure(value: number): string {
  const size = Math.abs(value);
  if (size >= 100 || Number.isInteger(value)) {
    return Math.round(value).toLocaleString('en-US');
  }
  const digits = size >= 10 ? 1 : size >= 1 ? 2 : 3;
  return value.toFixed(digits);
}
