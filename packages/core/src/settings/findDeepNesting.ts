import { createScanner } from 'jsonc-parser';

/** First offset at which lists and objects are nested deeper than `maxDepth`; undefined if none. */
export function findDeepNesting(text: string, maxDepth: number): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  for (scanner.scan(); scanner.getTokenOffset() < text.length; scanner.scan()) {
    // Tokens are distinguished by their first character: jsonc-parser declares the token kinds as
    // an ambient const enum, which cannot be used with `verbatimModuleSyntax`.
    const firstCharacter = text[scanner.getTokenOffset()];
    if (firstCharacter === '{' || firstCharacter === '[') {
      depth += 1;
    } else if (firstCharacter === '}' || firstCharacter === ']') {
      depth -= 1;
    }
    if (depth > maxDepth) {
      return scanner.getTokenOffset();
    }
  }
  return undefined;
}
