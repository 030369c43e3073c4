import { createScanner } from 'jsonc-parser';

/** Offset at which lists and objects are nested deeper than `maxDepth`; undefined if nowhere. */
export function findDeepNesting(text: string, maxDepth: number): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  for (scanner.scan(); scanner.getTokenOffset() < text.length; scanner.scan()) {
    // Tokens are told apart by their first character: the kinds are an ambient const enum, which
    // `verbatimModuleSyntax` rules out.
    const first = text[scanner.getTokenOffset()];
    if (first === '{' || first === '[') {
      depth += 1;
    } else if (first === '}' || first === ']') {
      depth -= 1;
    }
    if (depth > maxDepth) {
      return scanner.getTokenOffset();
    }
  }
  return undefined;
}
