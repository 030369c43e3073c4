import type { EngineBody } from './EngineBody.js';

/** Prompt text that the engine stand-in extracts from a request body. */
export function promptOf(body: EngineBody): string {
  if (body.messages !== undefined) {
    return body.messages
      .map((message) => `${message.role}\n${JSON.stringify(message.content ?? '')}`)
      .join('\n');
  }
  return typeof body.prompt === 'string' ? body.prompt : (body.prompt ?? []).join('\n');
}
