/** Sections of a generated page that others write: kept as they are between their markers. */

/** The first marker of a section. */
export function beginMarker(name: string): string {
  return `<!-- ${name}:begin -->`;
}

/** The last marker of a section. */
export function endMarker(name: string): string {
  return `<!-- ${name}:end -->`;
}

/** The section with its markers, as it stands in `page`, or with `fallback` when it has none. */
export function keptSection(page: string, name: string, fallback: string): string {
  const begin = page.indexOf(beginMarker(name));
  const end = page.indexOf(endMarker(name));
  return begin >= 0 && end > begin
    ? page.slice(begin, end + endMarker(name).length)
    : `${beginMarker(name)}\n\n${fallback}\n\n${endMarker(name)}`;
}
