-- expect: need=primary reads
SELECT refund_total(7);
SELECT a FROM t WHERE shop.score(a) > 3;
SELECT 'x'::mood;
SELECT a <!!> b FROM t;
SELECT 'C:\' AS dir;
SELECT * FROM ROWS FROM (generate_series(1, 2), generate_series(1, 3));
SELECT xmlforest(a AS b) FROM t;
SELECT * FROM json_table('[]', '$' COLUMNS (a int PATH '$.a')) j;
SELECT a OPERATOR(pg_catalog.+) b FROM t;
SELECT U&'d\0061t' UESCAPE '!';
SELECT 1; SELECT 2;
COPY t TO STDOUT;
WITH RECURSIVE a AS (SELECT 1) SEARCH DEPTH FIRST BY x SET o SELECT * FROM a;
SELECT insert FROM t;
SELECT pg_catalog.own_sum(a) FROM t;
