/** Fields of an OpenAI-compatible request body that the engine stand-in reads. */
export interface EngineBody {
  readonly model: string;
  readonly messages?: readonly { readonly role: string; readonly content?: unknown }[];
  readonly prompt?: string | readonly string[];
  readonly stream?: boolean;
  readonly priority?: number;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
}
