import { z } from 'zod';
import { InvalidBodyError } from '../errors/InvalidBodyError.js';
import type { InferenceRoute } from '../ports/EngineClient.js';
import { isNestedDeeper } from './isNestedDeeper.js';

/** `JSON.stringify` overflows the stack at a few thousand levels. */
const MAX_NESTING = 100;
const MAX_REPORTED_PROBLEMS = 5;

const messageSchema = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(z.looseObject({ type: z.string() })), z.null()]).optional(),
});

const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.int().positive().nullish(),
  max_completion_tokens: z.int().positive().nullish(),
};

const chatSchema = z.looseObject({ ...commonFields, messages: z.array(messageSchema).min(1) });
const completionSchema = z.looseObject({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.string()).min(1)]),
});

/** The fields of an inference request's body that admission and routing use. */
export interface ParsedInferenceBody {
  readonly model: string;
  readonly streamed: boolean;
  /** Maximum number of tokens to generate; undefined when the caller sets none. */
  readonly maxOutputTokens: number | undefined;
  /** The prompt as one string, in the order the engine reads it. */
  readonly prompt: string;
  /** The messages of a chat, or the texts of a completion. */
  readonly promptParts: readonly string[];
  /** All fields of the body, to be passed to the engine. */
  readonly fields: Readonly<Record<string, unknown>>;
}

function parseJson(body: string): unknown {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    // The cause is omitted: modern-errors would append its message, which quotes the body.
    throw new InvalidBodyError('The body is not valid JSON.');
  }
  if (isNestedDeeper(value, MAX_NESTING)) {
    throw new InvalidBodyError(`The body is nested more than ${MAX_NESTING} levels deep.`);
  }
  return value;
}

function validate<Schema extends z.ZodType>(schema: Schema, value: unknown): z.infer<Schema> {
  const result = schema.safeParse(value);
  if (result.success) {
    return result.data;
  }
  const problems = result.error.issues
    .slice(0, MAX_REPORTED_PROBLEMS)
    .map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`);
  throw new InvalidBodyError(`The body is invalid: ${problems.join('; ')}`);
}

/**
 * Parses the body of an OpenAI-compatible inference request.
 *
 * @throws InvalidBodyError when it is not JSON or a required field is missing or of the wrong type.
 */
export function parseInferenceBody(route: InferenceRoute, body: string): ParsedInferenceBody {
  const value = parseJson(body);
  if (route === 'chat/completions') {
    const fields = validate(chatSchema, value);
    const promptParts = fields.messages.map(
      (message) => `${message.role}\n${JSON.stringify(message.content ?? '')}`,
    );
    return {
      model: fields.model,
      streamed: fields.stream ?? false,
      maxOutputTokens: fields.max_completion_tokens ?? fields.max_tokens ?? undefined,
      prompt: promptParts.join('\n'),
      promptParts,
      fields,
    };
  }
  const fields = validate(completionSchema, value);
  const promptParts = typeof fields.prompt === 'string' ? [fields.prompt] : fields.prompt;
  return {
    model: fields.model,
    streamed: fields.stream ?? false,
    maxOutputTokens: fields.max_tokens ?? undefined,
    prompt: promptParts.join('\n'),
    promptParts,
    fields,
  };
}
