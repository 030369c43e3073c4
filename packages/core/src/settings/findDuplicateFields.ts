import type { Node } from 'jsonc-parser';

/**
 * Properties whose name occurred earlier in the same object. JSON parsing would drop the earlier
 * one.
 */
export function findDuplicateFields(node: Node | undefined): readonly Node[] {
  const children = node?.children ?? [];
  const names = new Set<unknown>();
  const duplicates = children.filter((child) => {
    const name: unknown = child.type === 'property' ? child.children?.[0]?.value : undefined;
    const isDuplicate = name !== undefined && names.has(name);
    names.add(name);
    return isDuplicate;
  });
  return [...duplicates, ...children.flatMap(findDuplicateFields)];
}
