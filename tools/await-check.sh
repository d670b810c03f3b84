#!/usr/bin/env bash
# Fails if a C++ source awaits in a loop condition or in an operand of &&, || or ?:. GCC 12 evaluates such an operand
# although it is not to be evaluated. Checks all C++ sources, or only the files given as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v '/generated/')
fi
perl -0777 -ne '
    my ($text, $failed) = ($_, 0);
    # Comments and literals become blanks, so that positions stay the same.
    $text =~ s{(//[^\n]*|/\*.*?\*/|"(?:[^"\\\n]|\\.)*"|(?<!\w)\x27(?:[^\x27\\\n]|\\.)+\x27)}{$1 =~ s/[^\n]/ /gr}gse;
    my $operator = qr{(?<!auto)(?<!auto )&&|\|\||\?|\band\b|\bor\b};
    my $report = sub {
        my ($at, $why) = @_;
        my $line = 1 + (substr($text, 0, $at) =~ tr/\n//);
        print "$ARGV:$line: $why\n";
        $failed = 1;
    };
    # Operators within arguments that await nothing are harmless.
    my $isUnsafe = sub {
        my ($expression) = @_;
        1 while $expression =~ s/\((?:(?!\bco_await\b)[^()])*\)/ /g;
        return $expression =~ /\bco_await\b/ && $expression =~ $operator;
    };
    my $nested = qr{(?<parens>\((?:[^()]++|(?&parens))*+\))};
    my $keyword = qr{\b(?<word>if|while|for|switch)(?:\s+constexpr)?\s*};
    while ($text =~ /$keyword$nested/g) {
        my ($word, $head, $at) = ($+{word}, $+{parens}, $-[0]);
        my $isLoop = $word eq "while" || ($word eq "for" && $head =~ /;/);
        $report->($at, "co_await in a loop condition") if $isLoop && $head =~ /\bco_await\b/;
        $report->($at, "co_await beside &&, || or ?:") if !$isLoop && $isUnsafe->($head);
    }
    # Braces within an expression are none of a block.
    1 while $text =~ s/(?<=[\w\s(,])\{((?:(?!\bco_await\b)[^{};])*)\}(?=\s*[:,;)&|?])/ $1 /g;
    # What follows the condition of a statement is a statement of its own.
    $text =~ s{$keyword$nested}{my $head = $&; $head =~ s/[^\n]/ /g; $head =~ s/^ /;/; $head}ge;
    while ($text =~ /[^;{}]+/g) {
        my ($statement, $at) = ($&, $-[0]);
        $at += length $1 if $statement =~ /^(\s+)/;
        $report->($at, "co_await beside &&, || or ?:") if $isUnsafe->($statement);
    }
    $::any ||= $failed;
    END { exit($::any ? 1 : 0) }
' "${files[@]}"
echo "await-check: ${#files[@]} files checked"
