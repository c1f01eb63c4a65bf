# Completion of tarragonflow for bash.
_tarragonflow () {
	local word=${COMP_WORDS[COMP_CWORD]}
	local options=

	if test "$COMP_CWORD" = 1
	then
		COMPREPLY=($(compgen -W "balancer agent check apply status \
			wait dump explain where --help --version" -- "$word"))
		return
	fi
	case ${COMP_WORDS[1]} in
	balancer)
		options="--help --settings" ;;
	agent)
		options="--help --settings" ;;
	check)
		options="--help --settings" ;;
	apply)
		options="--help --platform --by" ;;
	status)
		options="--help --admin --json --watch" ;;
	wait)
		options="--help --admin --release --timeout" ;;
	dump)
		options="--help --platform" ;;
	explain)
		options="--help" ;;
	where)
		options="--help --admin --source --json" ;;
	esac
	COMPREPLY=($(compgen -W "$options" -- "$word") \
		$(compgen -f -- "$word"))
}
complete -o filenames -F _tarragonflow tarragonflow
