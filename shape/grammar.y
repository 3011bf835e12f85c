%{
package shape

// The grammar of what is read and what writes, no deeper than that needs. It accepts more than SQL does, which does
// no harm, since the node refuses what is no SQL; what it does not accept counts as a write. An expression is a row
// of items in balanced parentheses; calls, casts, tables and clauses are told to the finding (find.go). The conflicts
// are of one kind, shift or reduce at the start of an item, and shifting is right: a name before "(" is a call.
//
// It must never take a token that writes (INSERT, UPDATE, DELETE, MERGE, INTO, locking) where it does not tell so.
%}

%union {
	name name // of NAME and OP: where they stand
}

%token SELECT VALUES TABLE WITH FROM INTO WHERE GROUP HAVING WINDOW ORDER LIMIT OFFSET FETCH FOR SETOP
%token RECURSIVE AS ON USING JOIN JOINKIND LATERAL ONLY INSERT UPDATE DELETE MERGE EXPLAIN ANALYZE VERBOSE
%token OTHER ANY KW BY CONST CAST ASSIGN
%token <name> NAME OP
%type <name> qname one

%%

script: stmt | script ';' stmt ;

stmt: /* nothing */
	| begin wquery
	| begin dml
	| begin with dml
	| begin EXPLAIN explaining wstmt { found(shapelex).explained() }
	| begin OTHER rest
	;
begin: /* nothing */ { found(shapelex).statement() } ;
rest: /* nothing */ | rest ANY ;

explaining: /* nothing */ | explaining ANALYZE { found(shapelex).analyze = true } | explaining VERBOSE
	| '(' exwords ')' ;
exwords: exword | exwords exword ;
exword: ANALYZE { found(shapelex).analyze = true } | VERBOSE | NAME | CONST | KW | ON | ',' ;

wstmt: wquery | dml | with dml ;
wquery: query | with query ;
with: WITH ctes | WITH RECURSIVE ctes { found(shapelex).recursive = true } ;
ctes: cte | ctes ',' cte ;
cte: one { found(shapelex).define($1) } columns AS materialized '(' wstmt ')' ;
materialized: /* nothing */ | NAME | KW NAME ;
columns: /* nothing */ | '(' names ')' ;
names: one | names ',' one ;
one: NAME ;

query: part | query SETOP part ;
part: core
	| subquery clauses
	;
subquery: '(' wquery ')' ;
core: SELECT { found(shapelex).selects++ } soup clauses
	| VALUES soup clauses
	| TABLE qname { found(shapelex).table($2, false) } clauses
	;
clauses: /* nothing */ | clauses clause ;
clause: FROM { found(shapelex).from++ } fromlist
	| INTO { found(shapelex).writes("select into") } into
	| WHERE { found(shapelex).wheres++ } esoup
	| GROUP BY { found(shapelex).groups++ } soup
	| HAVING esoup
	| WINDOW soup
	| ORDER BY { found(shapelex).orders++ } soup
	| LIMIT { found(shapelex).limits++ } soup
	| OFFSET soup
	| FETCH { found(shapelex).limits++ } soup
	| FOR { found(shapelex).writes("locking clause") } locks
	;
into: esoup | TABLE esoup ;
locks: lock | locks lock ;
lock: UPDATE | NAME | ',' | '.' ;

fromlist: fromitem | fromlist ',' fromitem ;
fromitem: source | fromitem join source joined ;
join: joins { found(shapelex).joins++ } ;
joins: JOIN | JOINKIND joins ;
joined: /* nothing */ | ON esoup | USING '(' names ')' ;
source: qname { found(shapelex).table($1, false) } alias
	| qname OP { found(shapelex).table($1, false) } alias
	| ONLY qname { found(shapelex).table($2, false) } alias
	| LATERAL source
	| call alias
	| subquery alias
	| '(' fromitem ')' alias
	;
alias: /* nothing */ | alias aliasword ;
aliasword: NAME | AS | KW | '(' inner ')' ;

dml: INSERT INTO qname { found(shapelex).table($3, true); found(shapelex).writes("insert") } mess
	| UPDATE qname { found(shapelex).table($2, true); found(shapelex).writes("update") } mess
	| UPDATE ONLY qname { found(shapelex).table($3, true); found(shapelex).writes("update") } mess
	| DELETE FROM qname { found(shapelex).table($3, true); found(shapelex).writes("delete") } mess
	| DELETE FROM ONLY qname { found(shapelex).table($4, true); found(shapelex).writes("delete") } mess
	| MERGE INTO qname { found(shapelex).table($3, true); found(shapelex).writes("merge") } mess
	;
mess: /* nothing */ | mess shred ;
shred: SELECT | VALUES | TABLE | WITH | FROM | INTO | WHERE | GROUP | HAVING | WINDOW | ORDER | LIMIT | OFFSET
	| FETCH | FOR | SETOP | RECURSIVE | AS | ON | USING | JOIN | JOINKIND | LATERAL | ONLY | INSERT | UPDATE
	| DELETE | MERGE | ANALYZE | VERBOSE | KW | BY | CONST | OP | CAST | ASSIGN | ',' | '.' | ':' | '[' | ']'
	| NAME { found(shapelex).field($1) }
	| '(' mess ')'
	;

soup: esoup | soup ',' esoup ;
esoup: /* nothing */ | esoup item ;
item: CONST | KW | ASSIGN | ONLY | ':' | AS
	| OP { found(shapelex).operator($1) }
	| qname { found(shapelex).column($1) }
	| qname CONST { found(shapelex).cast($1) }
	| call
	| call CONST
	| CAST qname { found(shapelex).cast($2) }
	| CAST qname '(' { found(shapelex).cast($2) } inner ')'
	| '.' NAME { found(shapelex).field($2) }
	| '.' OP
	| subquery
	| '(' psoup ')'
	| '(' ')'
	| '[' soup ']'
	;

call: head inner ')' ;
head: qname '(' { found(shapelex).call($1) } ;

inner: /* nothing */ | wquery | psoup ;
psoup: pitem | psoup pitem ;
pitem: item | ',' | FROM | FOR | ORDER | WHERE | USING | BY | LIMIT | OFFSET | FETCH
	| AS qname { found(shapelex).cast($2) }
	| AS qname '(' { found(shapelex).cast($2) } inner ')'
	| SETOP
	| SETOP core
	;

qname: one
	| qname '.' NAME { $$ = found(shapelex).qualify($1, $3) }
	| qname '.' OP { $$ = $1 }
	;
