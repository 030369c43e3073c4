import type { Node } from 'jsonc-parser';

/** Property nodes whose name occurred earlier in the same object; JSON would drop the earlier one. */
export function findDuplicateFields(node: Node | undefined): readonly Node[] {
  const children = node?.children ?? [];
  const names = new Set<unknown>();
  const own = children.filter((child) => {
    const name: unknown = child.type === 'property' ? child.children?.[0]?.value : undefined;
    const isDuplicate = name !== undefined && names.has(name);
    names.add(name);
    return isDuplicate;
  });
  return [...own, ...children.flatMap(findDuplicateFields)];
}
