"""Linear least squares by the normal equations."""

from __future__ import annotations

SMALLEST_PIVOT = 1e-6


def fit(rows: list[list[float]], values: list[float]) -> list[float] | None:
    """Return the factors of the terms in ``rows`` that fit ``values`` with least squares.

    Return None if the rows are linearly dependent, so that no unique solution exists.
    """
    size = len(rows[0])
    matrix = [
        [sum(row[i] * row[j] for row in rows) for j in range(size)]
        + [sum(row[i] * value for row, value in zip(rows, values, strict=True))]
        for i in range(size)
    ]
    for i in range(size):
        pivot = max(range(i, size), key=lambda k: abs(matrix[k][i]))
        if abs(matrix[pivot][i]) < SMALLEST_PIVOT:
            return None
        matrix[i], matrix[pivot] = matrix[pivot], matrix[i]
        for k in range(size):
            if k != i:
                factor = matrix[k][i] / matrix[i][i]
                matrix[k] = [a - factor * b for a, b in zip(matrix[k], matrix[i], strict=True)]
    return [matrix[i][size] / matrix[i][i] for i in range(size)]
