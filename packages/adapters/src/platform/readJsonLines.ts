/** Yields the JSON values of a newline-separated stream. */
export async function* readJsonLines(chunks: AsyncIterable<Buffer>): AsyncGenerator<unknown, void> {
  const decoder = new TextDecoder();
  let pending = '';
  for await (const chunk of chunks) {
    pending += decoder.decode(chunk, { stream: true });
    const lines = pending.split('\n');
    pending = lines.pop() ?? '';
    for (const line of lines) {
      if (line.trim() !== '') {
        yield JSON.parse(line);
      }
    }
  }
}
