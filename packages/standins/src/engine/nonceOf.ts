const NONCE = /nonce=([\w.-]+)/;

/** Nonce in a prompt (`nonce=...`), by which a test identifies the request at the engine. */
export function nonceOf(prompt: string): string | undefined {
  return NONCE.exec(prompt)?.[1];
}
